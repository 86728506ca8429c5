import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { attemptId } from "./attempt-id.js";
import type { Attempt } from "./attempt.js";
import { AttemptPhase } from "./attempt-phase.js";
import { isWaitingState } from "./is-waiting-state.js";
import type { OwnerContext } from "./owner-context.js";
import type { TaskRecord } from "./task-record.js";
import type { AttemptRef } from "./attempt-ref.js";
import type { Transition } from "./transition.js";
import type { WorkerOutcome } from "./worker-outcome.js";

/**
 * Limit on the stored characters of a task's output or error, because the log and the snapshot hold each of
 * them.
 */
const MaxOutputChars = 1024;

/** Without a current attempt on this worker, only a finish of a task that waits for its next attempt is of use. */
const isStale = (task: TaskRecord, outcome: WorkerOutcome, current: Attempt | undefined): boolean =>
    current === undefined && (outcome.result !== "finished" || !isWaitingState(task.state));

/**
 * Turns a worker's outcomes into transitions. A stale outcome is acknowledged at once, any other only after
 * its transition is durable. A stopped attempt ends without an outcome only if the outcomes that were read
 * after the stop do not include it.
 */
export class OutcomeProcessor {
    /** Outcomes whose transition is not durable yet. */
    private readonly pendingCommits = new Set<string>();
    private acknowledgements = new Map<string, AttemptRef>();
    private stopped: Attempt[] = [];

    private constructor(
        private readonly attempts: ReadonlyMap<string, Attempt>,
        private readonly owner: OwnerContext,
        /** Called before the end of an attempt that the worker has lost. */
        private readonly onForgotten: (attempt: Attempt) => void,
    ) {}

    static create(
        attempts: ReadonlyMap<string, Attempt>,
        owner: OwnerContext,
        onForgotten: (attempt: Attempt) => void,
    ): OutcomeProcessor {
        return new OutcomeProcessor(attempts, owner, onForgotten);
    }

    get hasAcknowledgements(): boolean {
        return this.acknowledgements.size > 0;
    }

    get hasStoppedAttempts(): boolean {
        return this.stopped.length > 0;
    }

    takeAcknowledgements(): AttemptRef[] {
        const refs = [...this.acknowledgements.values()];
        this.acknowledgements = new Map();
        return refs;
    }

    /** Adds attempts whose stop is confirmed and whose outcomes have not been read since. */
    addStopped(...attempts: readonly Attempt[]): void {
        this.stopped.push(...attempts);
    }

    takeStopped(): Attempt[] {
        const stopped = this.stopped;
        this.stopped = [];
        return stopped;
    }

    /** Handles outcomes that were read after the stops of `stopped` were confirmed. */
    processOutcomes(outcomes: readonly WorkerOutcome[], stopped: readonly Attempt[]): void {
        for (const outcome of outcomes) {
            this.processOutcome(outcome);
        }
        for (const attempt of stopped) {
            if (attempt.phase === AttemptPhase.Stopped) {
                if (attempt.isForgotten) {
                    this.onForgotten(attempt);
                }
                attempt.recordEnd(this.owner);
            }
        }
    }

    private processOutcome(outcome: WorkerOutcome): void {
        const task = this.owner.task(outcome.key);
        if (task === undefined || this.pendingCommits.has(attemptId(outcome))) {
            // Not a task of this cell, or its transition is queued for the log.
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
        const onSettled = (result: Result<void, CodedError>): void => {
            this.pendingCommits.delete(id);
            if (result.isOk()) {
                this.acknowledgements.set(id, ref);
            }
        };
        if (current !== undefined) {
            current.phase = AttemptPhase.Ended;
        }
        this.pendingCommits.add(id);
        this.owner.record(this.toTransition(outcome, current?.checkpoint), onSettled);
    }

    private toTransition(outcome: WorkerOutcome, checkpoint: string | undefined): Transition {
        const ref = { key: outcome.key, attempt: outcome.attempt };
        const wallMs = this.owner.wallMs();
        switch (outcome.result) {
            case "finished":
                return { kind: "finished", ...ref, output: outcome.output.slice(0, MaxOutputChars), wallMs };
            case "failed":
                return {
                    kind: "failed",
                    ...ref,
                    error: (outcome.error ?? "").slice(0, MaxOutputChars),
                    wallMs,
                };
            case "lease-lapsed":
                return { kind: "released", ...ref, checkpoint, wallMs };
        }
    }
}
