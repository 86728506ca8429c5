import type { Clock } from "@samphireward/core/clock";
import { CopyOutcome } from "@samphireward/jobs/copy-outcome";
import { EndKind } from "@samphireward/jobs/end-kind";
import type { EndObserver } from "@samphireward/jobs/end-observer";
import { EndReason } from "@samphireward/jobs/end-reason";
import type { IgnoredEnd } from "@samphireward/jobs/ignored-end";
import type { Run } from "@samphireward/jobs/run";
import type { RunEnd } from "@samphireward/jobs/run-end";
import type { SuspicionChange } from "@samphireward/jobs/suspicion-change";
import type { Task } from "@samphireward/jobs/task";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";

const MillisecondsPerSecond = 1_000;

/** Dependencies provided by the cell's owner. */
interface ReporterContext {
    readonly epoch: number;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Logs and counts the ends of a cell's runs. */
export class EndReporter implements EndObserver {
    private constructor(private readonly context: ReporterContext) {}

    static create(context: ReporterContext): EndReporter {
        return new EndReporter(context);
    }

    onApplied(task: Task, worker: WorkerIncarnation, end: RunEnd): void {
        const { epoch, log, metrics } = this.context;
        const { number: run, kind: how, reason } = end;
        if (how === EndKind.Lapsed) {
            metrics.runsLapsed.inc({ reason });
        }
        log.write("end", {
            task: task.name,
            run,
            worker: worker.entry.id,
            how,
            reason,
            failures: task.failedRuns.size,
            epoch,
            ...this.evidence(worker, end),
        });
    }

    onIgnored(worker: WorkerIncarnation, end: IgnoredEnd): void {
        const { epoch, log, metrics } = this.context;
        const { task, number: run, kind: how, reason, currentRun: current } = end;
        metrics.endsIgnored.inc({ kind: how });
        log.write("end-ignored", { task, run, worker: worker.entry.id, how, reason, current, epoch });
    }

    onSuspicion(task: Task, workerKey: string, reason: SuspicionChange): void {
        const { epoch, log, metrics } = this.context;
        const [worker] = workerKey.split("/", 1);
        metrics.suspicionChanges.inc({ reason });
        const { minAgeMs, maxAgeMs, chance } = task.crashes.evidence.fields;
        log.write("task-suspected", {
            task: task.name,
            worker,
            reason,
            points: task.suspicion,
            epoch,
            minAgeMs,
            maxAgeMs,
            chance,
        });
    }

    onCopy(copy: Run, outcome: CopyOutcome): void {
        const { epoch, clock, log, metrics } = this.context;
        const { task, number: run, worker, startedAtMs } = copy;
        const tookMs = outcome === CopyOutcome.Started ? undefined : Math.round(clock.nowMs() - startedAtMs);
        metrics.copies.inc({ outcome });
        log.write("copy", { task: task.name, run, worker: worker.entry.id, outcome, tookMs, epoch });
    }

    onCopyWaste(processorMs: number): void {
        this.context.metrics.copyWastedProcessorSeconds.inc(processorMs / MillisecondsPerSecond);
    }

    /** Fields that show on what the owner based an end after which the task may start again. */
    private evidence(worker: WorkerIncarnation, end: RunEnd): Readonly<Record<string, number | undefined>> {
        const nowMs = this.context.clock.nowMs();
        const bornMs = worker.entry.startedAtMs;
        switch (end.reason) {
            case EndReason.LeaseOver:
                return {
                    bornMs,
                    lastContactAgoMs: Math.round(nowMs - worker.lastContactAtMs),
                    leaseEndedAgoMs: Math.round(nowMs - worker.leaseEndsAtMs),
                };
            case EndReason.Restarted:
                return { bornMs, newBornMs: end.restartedAtMs };
            case EndReason.Listed:
            case EndReason.Missing:
                return end.kind === EndKind.Done
                    ? {}
                    : { bornMs, leaseLeftMs: Math.round(worker.leaseEndsAtMs - nowMs) };
        }
    }
}
