import { OrderKind } from "./order-kind.js";
import type { Order } from "./order.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import { StopReason } from "./stop-reason.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** An unconfirmed stop order is repeated after this time. */
const StopRetryDelayMs = 500;
/**
 * The same for a late start on a restarted worker. Until one of these stops arrives, nothing keeps the worker from
 * carrying out the start, even if the task is done by now.
 */
const LateStartStopRetryDelayMs = 150;

/** Whether to send a stop order that was last sent at `sentAtMs` (0: never). */
const isRetryDue = (sentAtMs: number, nowMs: number): boolean =>
    sentAtMs === 0 || nowMs - sentAtMs >= StopRetryDelayMs;

/** Returns the reason to stop a run; undefined if it continues. */
const reasonToStop = (run: Run): StopReason | undefined => {
    const { task } = run;
    if (task.isDone || task.step.occurrence.job.endState !== undefined) {
        return StopReason.Unwanted;
    }
    if (run.stopReason !== undefined) {
        return run.stopReason;
    }
    if (!task.isCurrent(run)) {
        return StopReason.NotCurrent;
    }
    return run.phase === RunPhase.Unknown ? StopReason.NoAnswer : undefined;
};

const stopRuns = (worker: WorkerIncarnation, orders: Order[], nowMs: number): void => {
    for (const run of worker.runs.values()) {
        const reason = reasonToStop(run);
        if (reason !== undefined && isRetryDue(run.stopSentAtMs, nowMs)) {
            run.stopSentAtMs = nowMs;
            orders.push({
                kind: OrderKind.Stop,
                worker,
                task: run.task.name,
                number: run.number,
                reason,
            });
        }
    }
};

/**
 * A restarted worker has forgotten which runs were stopped, and would carry out a start that was sent to its previous
 * incarnation. A stop makes it refuse that run number.
 */
const stopLateStarts = (worker: WorkerIncarnation, nowMs: number): Order[] => {
    const orders: Order[] = [];
    for (const [task, start] of worker.lateStarts) {
        if (nowMs > start.expiresAtMs) {
            worker.removeLateStart(task);
        } else if (
            // The deadline of the starts holds for a lost worker; it gets their stops once it answers.
            !worker.isLost &&
            start.stopConfirmedAtMs === undefined &&
            worker.runs.get(task)?.number !== start.run.number &&
            nowMs - start.stopSentAtMs >= LateStartStopRetryDelayMs
        ) {
            worker.setLateStart(task, { ...start, stopSentAtMs: nowMs });
            const { number } = start.run;
            orders.push({ kind: OrderKind.Stop, worker, task, number, reason: StopReason.LateStart });
        }
    }
    return orders;
};

const stopOrphanRuns = (worker: WorkerIncarnation, nowMs: number): Order[] => {
    const due = [...worker.orphanRuns].filter(([, { stopSentAtMs }]) => isRetryDue(stopSentAtMs, nowMs));
    if (due.length > 0) {
        const sent = due.map(([task, orphan]) => [task, { ...orphan, stopSentAtMs: nowMs }] as const);
        worker.setOrphanRuns(new Map([...worker.orphanRuns, ...sent]));
    }
    const reason = StopReason.Orphan;
    return due.map(([task, { number }]) => ({ kind: OrderKind.Stop, worker, task, number, reason }));
};

/** Returns stop orders for runs that are no longer needed, unknown or in an unknown phase. */
export const stopOrders = (fleet: WorkerFleet, nowMs: number): Order[] => {
    const orders: Order[] = [];
    for (const worker of fleet.workers) {
        if (worker.isReachable) {
            stopRuns(worker, orders, nowMs);
        }
        if (worker.orphanRuns.size > 0) {
            orders.push(...stopOrphanRuns(worker, nowMs));
        }
        if (worker.lateStarts.size > 0) {
            orders.push(...stopLateStarts(worker, nowMs));
        }
    }
    return orders;
};
