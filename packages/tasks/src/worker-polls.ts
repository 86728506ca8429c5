import type { Attempt } from "./attempt.js";
import type { LinkState } from "./link-state.js";
import { OutcomeProcessor } from "./outcome-processor.js";
import type { OwnerContext } from "./owner-context.js";
import type { WorkerClient } from "./worker-client.js";

type Call = () => Promise<void>;

/** Periodic calls to one worker: reads and acknowledges its outcomes, and reads its usage. */
export class WorkerPolls {
    readonly outcomes: OutcomeProcessor;
    private outcomesDueMs = 0;
    private usageDueMs = 0;

    private constructor(
        private readonly worker: string,
        attempts: ReadonlyMap<string, Attempt>,
        private readonly link: LinkState,
        private readonly owner: OwnerContext,
        onForgotten: (attempt: Attempt) => void,
    ) {
        this.outcomes = OutcomeProcessor.create(attempts, owner, onForgotten);
    }

    static create(
        worker: string,
        attempts: ReadonlyMap<string, Attempt>,
        link: LinkState,
        owner: OwnerContext,
        onForgotten: (attempt: Attempt) => void,
    ): WorkerPolls {
        return new WorkerPolls(worker, attempts, link, owner, onForgotten);
    }

    /** Returns the call that is due, if any. */
    next(client: WorkerClient, nowMs: number): Call | undefined {
        if (this.outcomes.hasAcknowledgements) {
            return () => this.acknowledge(client);
        }
        if (nowMs >= this.outcomesDueMs || this.outcomes.hasStoppedAttempts) {
            return () => this.readOutcomes(client);
        }
        if (nowMs >= this.usageDueMs) {
            return () => this.readUsage(client);
        }
        return undefined;
    }

    async readOutcomes(client: WorkerClient): Promise<void> {
        const stopped = this.outcomes.takeStopped();
        const answer = await client.outcomes();
        if (answer.isErr()) {
            this.outcomes.addStopped(...stopped);
            this.link.handleCallError(answer.error);
            return;
        }
        this.outcomesDueMs = this.link.clock.nowMs() + this.link.timing.outcomeIntervalMs;
        this.outcomes.processOutcomes(answer.value, stopped);
        this.link.setReachable(true);
    }

    private async acknowledge(client: WorkerClient): Promise<void> {
        const answer = await client.acknowledge(this.outcomes.takeAcknowledgements());
        if (answer.isErr()) {
            // The worker reports the outcomes again, and they are then acknowledged as already known.
            this.link.handleCallError(answer.error);
        }
    }

    private async readUsage(client: WorkerClient): Promise<void> {
        this.usageDueMs = this.link.clock.nowMs() + this.link.timing.usageIntervalMs;
        const answer = await client.usage();
        if (answer.isErr()) {
            this.link.handleCallError(answer.error);
        } else {
            this.owner.handleUsageReport(this.worker, answer.value);
        }
    }
}
