import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { attemptId } from "./attempt-id.js";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { Recorder } from "./recorder.js";
import type { TaskRecord } from "./task-record.js";
import type { TaskRef } from "./task-ref.js";
import type { Transition } from "./transition.js";
import type { WorkerOutcome } from "./worker-outcome.js";

/** Characters of a task's output or error that are kept, because each is in the log and the snapshot. */
const MaxOutput = 1024;

/** Without a current attempt here, only a finish of work that nobody runs again is of use. */
const isStale = (task: TaskRecord, outcome: WorkerOutcome, current: Attempt | undefined): boolean =>
    current === undefined && (outcome.result !== "finished" || !isWaitingState(task.state));

/**
 * Turns a worker's outcomes into transitions. An outcome is acknowledged only after its transition is durable,
 * and at once when it is stale. A stopped attempt ends without an outcome only after the outcomes that were
 * read after the stop do not name it.
 */
export class OutcomeReader {
    /** Outcomes whose transition waits for the log. */
    private readonly recorded = new Set<string>();
    private acknowledgements = new Map<string, TaskRef>();
    private stopped: Attempt[] = [];

    private constructor(
        private readonly attempts: ReadonlyMap<string, Attempt>,
        private readonly recorder: Recorder,
    ) {}

    static create(attempts: ReadonlyMap<string, Attempt>, recorder: Recorder): OutcomeReader {
        return new OutcomeReader(attempts, recorder);
    }

    get hasAcknowledgements(): boolean {
        return this.acknowledgements.size > 0;
    }

    get hasStopped(): boolean {
        return this.stopped.length > 0;
    }

    takeAcknowledgements(): TaskRef[] {
        const refs = [...this.acknowledgements.values()];
        this.acknowledgements = new Map();
        return refs;
    }

    /** Attempts whose stop is confirmed and whose outcomes are still to be read. */
    expect(...attempts: readonly Attempt[]): void {
        this.stopped.push(...attempts);
    }

    takeStopped(): Attempt[] {
        const stopped = this.stopped;
        this.stopped = [];
        return stopped;
    }

    /** Handles outcomes that were read after the stops of `stopped` were confirmed. */
    take(outcomes: readonly WorkerOutcome[], stopped: readonly Attempt[]): void {
        for (const outcome of outcomes) {
            this.takeOne(outcome);
        }
        for (const attempt of stopped) {
            if (attempt.phase === AttemptPhase.Stopped) {
                attempt.end(this.recorder);
            }
        }
    }

    private takeOne(outcome: WorkerOutcome): void {
        const task = this.recorder.task(outcome.key);
        if (task === undefined || this.recorded.has(attemptId(outcome))) {
            // Not a task of this cell, or its transition waits for the log.
            return;
        }
        const attempt = this.attempts.get(outcome.key);
        const current = attempt?.attempt === outcome.attempt ? attempt : undefined;
        if (task.attempt !== outcome.attempt || isStale(task, outcome, current)) {
            this.acknowledgements.set(attemptId(outcome), { key: outcome.key, attempt: outcome.attempt });
        } else if (current?.phase !== AttemptPhase.Ended) {
            this.recordOutcome(outcome, current);
        }
    }

    private recordOutcome(outcome: WorkerOutcome, current: Attempt | undefined): void {
        const id = attemptId(outcome);
        const ref = { key: outcome.key, attempt: outcome.attempt };
        const settled = (result: Result<void, CodedError>): void => {
            this.recorded.delete(id);
            if (result.isOk()) {
                this.acknowledgements.set(id, ref);
            }
        };
        if (current !== undefined) {
            current.phase = AttemptPhase.Ended;
        }
        this.recorded.add(id);
        this.recorder.record(this.toTransition(outcome, current?.checkpoint), settled);
    }

    private toTransition(outcome: WorkerOutcome, checkpoint: string | undefined): Transition {
        const ref = { key: outcome.key, attempt: outcome.attempt };
        const wallMs = this.recorder.wallMs();
        switch (outcome.result) {
            case "finished":
                return { kind: "finished", ...ref, output: outcome.output.slice(0, MaxOutput), wallMs };
            case "failed":
                return { kind: "failed", ...ref, error: (outcome.error ?? "").slice(0, MaxOutput), wallMs };
            case "lease-lapsed":
                return { kind: "released", ...ref, checkpoint, wallMs };
        }
    }
}
