import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { CellState } from "./cell-state.js";
import type { EventLog } from "./event-log.js";
import { findStoredJobProblem } from "./find-stored-job-problem.js";
import { jobCodec } from "./job-codec.js";
import type { Metrics } from "./metrics.js";
import { SetAsideReason } from "./set-aside-reason.js";
import type { StoredJobProblem } from "./stored-job-problem.js";

/** Dependencies provided by the cell's owner. */
interface IntakeContext {
    readonly cell: number;
    readonly scheduler: CellScheduler;
    readonly log: EventLog;
    readonly metrics: Metrics;
}

/** Passes stored jobs to the scheduler, and sets aside those that it cannot carry. */
export class JobIntake {
    /** Jobs that were set aside when the state was read; without their progress they must not start anew. */
    private readonly setAsideIds = new Set<string>();

    private constructor(private readonly context: IntakeContext) {}

    static create(context: IntakeContext): JobIntake {
        return new JobIntake(context);
    }

    /** Takes up the jobs that earlier owners left. */
    restore({ jobs, setAside }: Pick<CellState, "jobs" | "setAside">): void {
        for (const [id, problem] of setAside) {
            this.setAsideIds.add(id);
            this.reportSetAside(id, problem);
        }
        for (const { spec, progress } of jobs) {
            this.context.scheduler.inheritJob(spec, progress);
        }
    }

    /** Adds a job that was just accepted, from its stored text. */
    accept(text: string): void {
        const { cell, scheduler, log, metrics } = this.context;
        const spec = jobCodec.decodeJob(text);
        if (spec === undefined) {
            metrics.jobsSetAside.inc({ reason: SetAsideReason.Unreadable });
            log.write("job-unreadable", { cell, bytes: text.length });
            return;
        }
        if (this.setAsideIds.has(spec.id)) {
            return;
        }
        const problem = findStoredJobProblem(spec, undefined);
        if (problem === undefined) {
            scheduler.addJob(spec);
        } else {
            this.reportSetAside(spec.id, problem);
        }
    }

    private reportSetAside(id: string, { reason, detail }: StoredJobProblem): void {
        const { cell, log, metrics } = this.context;
        metrics.jobsSetAside.inc({ reason });
        log.write("job-set-aside", { cell, job: id, reason, detail });
    }
}
