import type { Run } from "../src/run.js";
import type { CrashModelWorker } from "./crash-model-worker.js";

/** Time for which the members of a gang wait for those that have not started, before they end as broken. */
const MaxWaitMs = 3_000;

/** One run of a gang. */
interface GangRun {
    readonly step: string;
    readonly number: number;
    readonly startedAtMs: number;
    /** Members that have started. */
    readonly tasks: Set<string>;
    isComplete: boolean;
    isBroken: boolean;
}

/**
 * The runs of gangs: their members end together, and none is done before all have started. Else a gang is done of which a
 * deadly member was never reached.
 */
export class CrashModelGangs {
    private readonly runs = new Map<string, GangRun>();

    private constructor() {}

    static create(): CrashModelGangs {
        return new CrashModelGangs();
    }

    /** Records that a run was started on a worker; its gang is done at a time if it is complete now. */
    noteStart(
        { task, number, startedAtMs }: Run,
        endsAtMs: number,
        workers: readonly CrashModelWorker[],
    ): void {
        const { spec, name } = task.step;
        if (!spec.gang) {
            return;
        }
        const key = `${name}#${number}`;
        const run = this.runs.get(key) ?? {
            step: name,
            number,
            startedAtMs,
            tasks: new Set(),
            isComplete: false,
            isBroken: false,
        };
        this.runs.set(key, run);
        run.tasks.add(task.name);
        run.isComplete = run.tasks.size === spec.count;
        if (run.isBroken) {
            this.break(task.name, number, workers);
        } else if (run.isComplete) {
            workers.forEach(worker => worker.finishGang(`${name}.`, number, endsAtMs));
        }
    }

    /** The other members of a gang end when one of them does, also those that start later. */
    break(task: string, number: number, workers: readonly CrashModelWorker[]): void {
        const step = task.slice(0, task.lastIndexOf("."));
        const run = this.runs.get(`${step}#${number}`);
        if (run !== undefined) {
            run.isBroken = true;
            workers.forEach(worker => worker.breakGang(`${step}.`, number));
        }
    }

    /** Ends the members that have waited too long for the others. */
    endWaits(nowMs: number, workers: readonly CrashModelWorker[]): void {
        for (const run of this.runs.values()) {
            if (!run.isComplete && !run.isBroken && nowMs - run.startedAtMs >= MaxWaitMs) {
                run.isBroken = true;
                workers.forEach(worker => worker.breakGang(`${run.step}.`, run.number));
            }
        }
    }
}
