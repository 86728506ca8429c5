import type { Attempt } from "./attempt.js";
import type { LinkState } from "./link-state.js";
import { OutcomeReader } from "./outcome-reader.js";
import type { Recorder } from "./recorder.js";
import type { WorkerClient } from "./worker-client.js";

type Call = () => Promise<void>;

/** The readings that are repeated at intervals: a worker's outcomes with their acknowledgements, and its usage. */
export class WorkerPolls {
    readonly outcomes: OutcomeReader;
    private nextOutcomesMs = 0;
    private nextUsageMs = 0;

    private constructor(
        private readonly worker: string,
        attempts: ReadonlyMap<string, Attempt>,
        private readonly link: LinkState,
        private readonly recorder: Recorder,
    ) {
        this.outcomes = OutcomeReader.create(attempts, recorder);
    }

    static create(
        worker: string,
        attempts: ReadonlyMap<string, Attempt>,
        link: LinkState,
        recorder: Recorder,
    ): WorkerPolls {
        return new WorkerPolls(worker, attempts, link, recorder);
    }

    /** The reading or acknowledgement that is due, if any. */
    next(client: WorkerClient, nowMs: number): Call | undefined {
        if (this.outcomes.hasAcknowledgements) {
            return () => this.acknowledge(client);
        }
        if (nowMs >= this.nextOutcomesMs || this.outcomes.hasStopped) {
            return () => this.readOutcomes(client);
        }
        if (nowMs >= this.nextUsageMs) {
            return () => this.readUsage(client);
        }
        return undefined;
    }

    async readOutcomes(client: WorkerClient): Promise<void> {
        const stopped = this.outcomes.takeStopped();
        const answer = await client.outcomes();
        if (answer.isErr()) {
            this.outcomes.expect(...stopped);
            this.link.failed(answer.error);
            return;
        }
        this.nextOutcomesMs = this.link.clock.nowMs() + this.link.timing.outcomeIntervalMs;
        this.outcomes.take(answer.value, stopped);
        this.link.setReachable(true);
    }

    private async acknowledge(client: WorkerClient): Promise<void> {
        const answer = await client.acknowledge(this.outcomes.takeAcknowledgements());
        if (answer.isErr()) {
            // The worker repeats the outcomes, and they are acknowledged as already known.
            this.link.failed(answer.error);
        }
    }

    private async readUsage(client: WorkerClient): Promise<void> {
        this.nextUsageMs = this.link.clock.nowMs() + this.link.timing.usageIntervalMs;
        const answer = await client.usage();
        if (answer.isErr()) {
            this.link.failed(answer.error);
        } else {
            this.recorder.usageReported(this.worker, answer.value);
        }
    }
}
