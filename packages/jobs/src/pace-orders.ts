import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Smallest change of pace that is worth an order, in percentage points. */
const LeastChange = 6;

const needsOrder = (run: Run, percent: number): boolean => {
    const change = Math.abs(run.pacePercent - percent);
    const isLimit = percent === 0 || percent === 100;
    return change >= LeastChange || (isLimit && change > 0);
};

const ordersFor = (life: WorkerIncarnation): Order[] => {
    const orders: Order[] = [];
    for (const run of life.runs.values()) {
        const { filler, image } = run.task.step.spec;
        const percent = life.pacePercentFor(image);
        if (filler && run.phase === RunPhase.Running && !run.isStopRequested && needsOrder(run, percent)) {
            orders.push({ kind: OrderKind.Pace, worker: life, run, percent });
        }
    }
    return orders;
};

/** Orders that bring the fillers of all workers to their pace. */
export const paceOrders = (fleet: WorkerFleet): Order[] =>
    [...fleet.workers].filter(life => life.isReachable).flatMap(ordersFor);
