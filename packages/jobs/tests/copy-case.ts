import { EndKind } from "../src/end-kind.js";
import type { JobSpec } from "../src/job-spec.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import type { StepSpec } from "../src/step-spec.js";
import type { Task } from "../src/task.js";
import { SchedulerHarness } from "./scheduler-harness.js";

/** Tasks of the step; all but one are done. */
const TaskCount = 4;

/** A step whose last task runs on a slow worker, so that the next plan starts a copy of it. */
export class CopyCase {
    /** Outcomes of copies, in order. */
    readonly outcomes: string[] = [];
    /** Processor time that copies have wasted, in milliseconds. */
    wastedMs = 0;

    private constructor(
        readonly harness: SchedulerHarness,
        readonly spec: JobSpec,
        readonly original: Run,
    ) {
        harness.copyObserver = {
            onCopy: (_, outcome) => this.outcomes.push(outcome),
            onCopyWaste: processorMs => (this.wastedMs += processorMs),
        };
    }

    static create(step: Partial<StepSpec> = {}): CopyCase {
        const harness = SchedulerHarness.create();
        harness.addWorker("near", { rack: "near" });
        const full = { speculative: true, count: TaskCount, ...step };
        const spec = harness.submit(full);
        const runs = harness.planAndStartAll();
        const original = runs.at(-1);
        if (original === undefined) {
            throw new Error("expected a run of the step, found none");
        }
        harness.addWorker("near2", { rack: "near" });
        harness.addWorker("far", { rack: "far" });
        harness.clock.advance(1_000);
        if (step.lasting !== true && step.gang !== true) {
            runs.slice(0, -1).forEach(run => harness.reportEnd(run, EndKind.Done));
        }
        harness.clock.advance(1_000);
        const created = new CopyCase(harness, spec, original);
        created.report(original, 10);
        return created;
    }

    get job(): string {
        return this.spec.id;
    }

    get task(): Task {
        return this.original.task;
    }

    /** Reports the progress of a run while the other runs of its worker continue. */
    readonly report = (run: Run, progressPercent: number, checkpoint = ""): void => {
        const others = [...run.worker.runs.values()].filter(other => other !== run);
        const listed = { ...SchedulerHarness.listedRun(run), progressPercent, checkpoint };
        this.harness.reportListing(run.worker, [...others.map(SchedulerHarness.listedRun), listed], []);
    };

    /** Plans the copy, without a response to its start. */
    readonly planCopy = (): Run => {
        const [copy] = this.harness.planStarts();
        if (copy?.isCopy !== true) {
            throw new Error("expected the start of a copy, found none");
        }
        return copy;
    };

    readonly startCopy = (): Run => {
        const copy = this.planCopy();
        this.harness.scheduler.responses.recordStart(copy, StartOutcome.Started);
        return copy;
    };
}
