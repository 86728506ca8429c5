import type { ListedEnd } from "../src/listed-end.js";
import type { Run } from "../src/run.js";
import type { Task } from "../src/task.js";

/** Time after an acknowledgement during which a start may still be ordered. */
const GraceMs = 1_000;

/** Checks the starts of tasks that may have copies against the ends that their workers were acknowledged. */
export class CopyChecker {
    /** Starts that were carried out more than the time of grace after an acknowledged end as done. */
    lateStarts = 0;
    private readonly doneAtMs = new Map<string, number>();
    /** Numbers of the failed runs of each task; an owner may have read an end that its worker lost before it was acknowledged. */
    private readonly failedRuns = new Map<string, Set<number>>();
    /** Failed runs of each task by number, with the time of their acknowledgement. */
    private readonly failedAtMs = new Map<string, Map<number, number>>();

    private constructor(
        private readonly violations: string[],
        private readonly maxAttempts: number,
    ) {}

    static create(violations: string[], maxAttempts: number): CopyChecker {
        return new CopyChecker(violations, maxAttempts);
    }

    noteEnded({ task, number, kind }: ListedEnd): void {
        if (kind === "failed") {
            this.failedRuns.set(task, (this.failedRuns.get(task) ?? new Set()).add(number));
        }
    }

    noteAcknowledged({ task, number, kind }: ListedEnd, nowMs: number): void {
        if (kind === "done" && !this.doneAtMs.has(task)) {
            this.doneAtMs.set(task, nowMs);
        } else if (kind === "failed") {
            const failed = this.failedAtMs.get(task) ?? new Map<number, number>();
            this.failedAtMs.set(task, failed);
            failed.set(number, failed.get(number) ?? nowMs);
        }
    }

    noteOrdered({ task, number }: Run, nowMs: number): void {
        if (nowMs > (this.doneAtMs.get(task.name) ?? Infinity) + GraceMs) {
            this.violations.push(`${task.name} run ${number} is ordered after an acknowledged end as done`);
        }
        const failed = [...(this.failedAtMs.get(task.name)?.values() ?? [])];
        if (failed.filter(atMs => nowMs > atMs + GraceMs).length >= this.maxAttempts) {
            this.violations.push(`${task.name} run ${number} is ordered after ${this.maxAttempts} failures`);
        }
    }

    noteCarriedOut(task: string, nowMs: number): void {
        this.lateStarts += nowMs > (this.doneAtMs.get(task) ?? Infinity) + GraceMs ? 1 : 0;
    }

    /** Checks that the job of a task has failed if the task has. */
    checkAttempts(tasks: Iterable<Task>): void {
        for (const { name, failedRuns, isDone } of tasks) {
            if (!isDone && failedRuns.size >= this.maxAttempts) {
                this.violations.push(`${name} failed ${failedRuns.size} times, and its job goes on`);
            }
        }
    }

    /** Whether a task of a job has failed so often that the job may end as failed. */
    mayFail(job: string): boolean {
        return [...this.failedRuns].some(
            ([task, failed]) => task.startsWith(`${job}.`) && failed.size >= this.maxAttempts,
        );
    }
}
