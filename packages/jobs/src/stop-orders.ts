import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Time without a confirmation after which a stop is ordered again. */
const StopRepeatMs = 500;
/**
 * The same for a start without an answer in a worker that has started anew, in milliseconds. Until one of these stops
 * arrives nothing keeps the worker from the start, also when the task is done by now.
 */
const LateStopRepeatMs = 150;

/** Whether a stop that was last ordered at `sentAtMs` (0: never) is ordered now. */
const isRepeatDue = (sentAtMs: number, nowMs: number): boolean =>
    sentAtMs === 0 || nowMs - sentAtMs >= StopRepeatMs;

/** Why a run is to stop; undefined: it goes on. */
const reasonToStop = (run: Run): StopReason | undefined => {
    const { task } = run;
    if (task.isDone || task.step.occurrence.job.endState !== undefined) {
        return StopReason.Unwanted;
    }
    if (run.stopReason !== undefined) {
        return run.stopReason;
    }
    if (task.run !== run) {
        return StopReason.NotCurrent;
    }
    return run.phase === RunPhase.Unknown ? StopReason.NoAnswer : undefined;
};

/**
 * A worker that starts again under its id has forgotten what was stopped before, and would carry out a start that
 * was sent to its earlier life. A stop makes it refuse that run number.
 */
const lateStartStops = (life: WorkerIncarnation, nowMs: number): Order[] => {
    const orders: Order[] = [];
    for (const [task, start] of life.lateStarts) {
        if (nowMs > start.expiresAtMs) {
            life.lateStarts.delete(task);
        } else if (
            !start.isStopConfirmed &&
            life.runs.get(task)?.number !== start.run.number &&
            nowMs - start.stopSentAtMs >= LateStopRepeatMs
        ) {
            life.lateStarts.set(task, { ...start, stopSentAtMs: nowMs });
            const { number } = start.run;
            orders.push({ kind: OrderKind.Stop, worker: life, task, number, reason: StopReason.LateStart });
        }
    }
    return orders;
};

const strayStops = (life: WorkerIncarnation, nowMs: number): Order[] => {
    const due = [...life.orphanRuns].filter(([, { stopSentAtMs }]) => isRepeatDue(stopSentAtMs, nowMs));
    if (due.length > 0) {
        const sent = due.map(([task, stray]) => [task, { ...stray, stopSentAtMs: nowMs }] as const);
        life.orphanRuns = new Map([...life.orphanRuns, ...sent]);
    }
    const reason = StopReason.Orphan;
    return due.map(([task, { number }]) => ({ kind: OrderKind.Stop, worker: life, task, number, reason }));
};

/** Stops of runs that nobody wants, or of which nothing is known. */
export const stopOrders = (fleet: WorkerFleet, nowMs: number): Order[] => {
    const orders: Order[] = [];
    for (const life of fleet.workers) {
        for (const run of life.runs.values()) {
            const reason = reasonToStop(run);
            if (reason !== undefined && isRepeatDue(run.stopSentAtMs, nowMs) && life.isReachable) {
                run.stopSentAtMs = nowMs;
                orders.push({
                    kind: OrderKind.Stop,
                    worker: life,
                    task: run.task.name,
                    number: run.number,
                    reason,
                });
            }
        }
        orders.push(...strayStops(life, nowMs));
        orders.push(...lateStartStops(life, nowMs));
    }
    return orders;
};
