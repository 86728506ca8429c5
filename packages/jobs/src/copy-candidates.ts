import { assessStraggler } from "./assess-straggler.js";
import type { JobRegistry } from "./job-registry.js";
import type { QueueRules } from "./queue-rules.js";
import type { Run } from "./run.js";
import { RunPhase } from "./run-phase.js";
import type { Step } from "./step.js";
import type { Task } from "./task.js";

/** What the candidates of one plan depend on. */
interface CandidateContext {
    readonly jobs: JobRegistry;
    readonly rules: QueueRules;
    readonly nowMs: number;
    /** Whether a worker that has not listed its runs may have some of the job, so that none of its tasks start. */
    readonly isBlocked: (job: string) => boolean;
}

/** A slow run whose task may be copied. */
interface CopyCandidate {
    readonly original: Run;
    readonly service: string;
    /** Expected time from the order to start the copy to its end, in milliseconds. */
    readonly copyMs: number;
    /** Time by which the copy is expected to end before the original, in milliseconds. */
    readonly gainMs: number;
}

const mayHaveCopies = ({ spec }: Step): boolean =>
    spec.speculative && !spec.lasting && !spec.gang && !spec.filler && spec.count > 1;

/** Whether a task may be copied, however slow it is. The failure of a copy alone must not end the job. */
const mayBeCopied = (task: Task, maxAttempts: number, nowMs: number): boolean =>
    !task.isDone &&
    task.copy === undefined &&
    !task.hasBeenCopied &&
    task.suspicion === 0 &&
    task.trial === undefined &&
    task.inheritedWorkerKey === undefined &&
    task.failedRuns.size + 1 < maxAttempts &&
    nowMs >= task.startableAtMs &&
    nowMs >= task.copyNotBeforeMs;

/** Finds the runs of a step that are worth a copy; `maxAttempts` is that of the step's queue. */
const findInStep = (step: Step, service: string, maxAttempts: number, nowMs: number): CopyCandidate[] => {
    const running: Run[] = [];
    for (const { run } of step.tasks) {
        if (run !== undefined && run.phase === RunPhase.Running) {
            running.push(run);
        }
    }
    const siblingsDone = step.spec.count - step.remainingTasks;
    const runningProgress = running.map(({ progressPercent }) => progressPercent).sort((a, b) => b - a);
    const medianDoneMs = step.doneDurationsMs[Math.floor(step.doneDurationsMs.length / 2)];
    const { checkpoints, estimatedMs } = step.spec;
    const { meanRelativeSpeed } = step;
    const candidates: CopyCandidate[] = [];
    for (const run of running) {
        if (run.isStopRequested || !mayBeCopied(run.task, maxAttempts, nowMs)) {
            continue;
        }
        const straggler = assessStraggler({
            elapsedMs: nowMs - run.startedAtMs,
            progressPercent: run.progressPercent,
            checkpoints: checkpoints && run.task.checkpoint !== "",
            estimatedMs,
            meanRelativeSpeed,
            medianDoneMs,
            siblingsDone,
            runningProgress,
        });
        if (straggler !== undefined) {
            candidates.push({ original: run, service, ...straggler });
        }
    }
    return candidates;
};

/** Returns the runs whose tasks are worth a copy, those that gain most first. */
export const copyCandidates = ({ jobs, rules, nowMs, isBlocked }: CandidateContext): CopyCandidate[] => {
    const candidates: CopyCandidate[] = [];
    for (const job of jobs.undecidedSpeculative) {
        const rule = rules.get(job.spec.queue);
        if (rule !== undefined && !isBlocked(job.spec.id)) {
            for (const step of job.openSteps()) {
                if (mayHaveCopies(step)) {
                    candidates.push(...findInStep(step, rule.service, rule.maxAttempts, nowMs));
                }
            }
        }
    }
    return candidates.sort((a, b) => b.gainMs - a.gainMs);
};
