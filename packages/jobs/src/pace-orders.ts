import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Smallest change of pace for which an order is sent, in percentage points. */
const MinChangePercent = 6;

const needsOrder = (run: Run, percent: number): boolean => {
    const change = Math.abs(run.pacePercent - percent);
    const isBoundary = percent === 0 || percent === 100;
    return change >= MinChangePercent || (isBoundary && change > 0);
};

const paceRuns = (worker: WorkerIncarnation, orders: Order[]): void => {
    for (const run of worker.runs.values()) {
        const { filler, image } = run.task.step.spec;
        if (filler && run.phase === RunPhase.Running && !run.isStopRequested) {
            const percent = worker.pacePercentFor(image);
            if (needsOrder(run, percent)) {
                orders.push({ kind: OrderKind.Pace, worker, run, percent });
            }
        }
    }
};

/** Returns the orders that set the fillers of all workers to their planned pace. */
export const paceOrders = (fleet: WorkerFleet): Order[] => {
    const orders: Order[] = [];
    for (const worker of fleet.workers) {
        if (worker.isReachable) {
            paceRuns(worker, orders);
        }
    }
    return orders;
};
