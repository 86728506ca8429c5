import type { Clock } from "@samphireward/core/clock";
import { JobState } from "@samphireward/jobs/job-state";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CellDirectory } from "./cell-directory.js";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import { jobCodec } from "./job-codec.js";
import type { JobWriter } from "./job-writer.js";
import type { MetadataStore } from "./metadata-store.js";
import type { PeerClient } from "./peer-client.js";
import { SubmitOutcome } from "./submit-outcome.js";

/** Error of a question that neither the owner nor the store answered. */
type Unavailable = "unavailable";

/** Answers callers' requests about jobs at any process, by the owner of the job's cell or by the store. */
export class JobGateway {
    private constructor(
        private readonly cells: CellDirectory,
        private readonly store: MetadataStore,
        private readonly writer: JobWriter,
        private readonly peers: PeerClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(
        cells: CellDirectory,
        store: MetadataStore,
        writer: JobWriter,
        peers: PeerClient,
        clock: Clock,
        log: EventLog,
    ): JobGateway {
        return new JobGateway(cells, store, writer, peers, clock, log);
    }

    /** Accepts a job: afterwards it is durable. `untilMs` is on the monotonic clock. */
    async submit(spec: JobSpec, untilMs: number): Promise<SubmitOutcome> {
        const cell = this.cells.cellNumber(spec.id);
        if (cell === undefined) {
            return SubmitOutcome.NotAccepted;
        }
        const text = jobCodec.encodeJob(spec);
        let outcome = await this.writer.accept(cell, spec.id, text, untilMs);
        if (outcome !== SubmitOutcome.Accepted) {
            const other = await this.acceptThroughOwner(cell, spec.id, text);
            outcome = other === SubmitOutcome.NotAccepted ? outcome : other;
        }
        if (outcome === SubmitOutcome.Accepted) {
            this.cells.get(cell)?.owner?.jobAccepted(text);
        }
        return outcome;
    }

    /** State of a job; undefined: no such job. */
    async state(id: string): Promise<Result<JobState | undefined, Unavailable>> {
        const cell = this.cells.cellNumber(id);
        if (cell === undefined) {
            return Err("unavailable");
        }
        const candidate = this.cells.get(cell);
        const known =
            candidate?.owner?.scheduler.jobs.get(id)?.state ?? (await this.fetchStateFromOwner(cell, id));
        return known === undefined ? this.readStoredState(cell, id) : Ok(known);
    }

    /** Cancels a job; `undefined`: no such job. */
    async cancel(id: string, untilMs: number): Promise<Result<boolean, Unavailable>> {
        const cell = this.cells.cellNumber(id);
        const state = await this.state(id);
        if (cell === undefined || state.isErr()) {
            return Err("unavailable");
        }
        if (state.value === undefined) {
            return Ok(false);
        }
        const outcome = await this.writer.cancel(cell, id, untilMs);
        if (outcome !== SubmitOutcome.Accepted) {
            return Err("unavailable");
        }
        await this.notifyOwner(cell, id);
        return Ok(true);
    }

    /** Accepted jobs of a queue of which no task has started. */
    async waitingCount(queue: string): Promise<Result<number, Unavailable>> {
        if (this.cells.count === 0) {
            return Err("unavailable");
        }
        const counts = await Promise.all(this.cells.all.map((_, cell) => this.waitingCountIn(cell, queue)));
        return counts.includes(undefined)
            ? Err("unavailable")
            : Ok(counts.reduce((sum: number, count) => sum + (count ?? 0), 0));
    }

    private async waitingCountIn(cell: number, queue: string): Promise<number | undefined> {
        const candidate = this.cells.get(cell);
        if (candidate?.owner !== undefined) {
            return candidate.owner.scheduler.jobs.countUnstarted(queue);
        }
        const address = candidate?.ownerRecord?.address;
        if (address === undefined) {
            return undefined;
        }
        const answer = await this.peers.waitingCount(address, cell, queue);
        this.logFailure(answer, "waiting", queue, address);
        return answer.unwrapOr(undefined);
    }

    private async fetchStateFromOwner(cell: number, id: string): Promise<JobState | undefined> {
        const candidate = this.cells.get(cell);
        const address = candidate?.ownerRecord?.address;
        if (address === undefined || candidate?.owner !== undefined) {
            return undefined;
        }
        const answer = await this.peers.jobState(address, cell, id);
        this.logFailure(answer, "state", id, address);
        return answer.unwrapOr(undefined);
    }

    private async notifyOwner(cell: number, id: string): Promise<void> {
        const candidate = this.cells.get(cell);
        if (candidate?.owner !== undefined) {
            candidate.owner.jobCancelled(id);
        } else if (candidate?.ownerRecord !== undefined) {
            const { address } = candidate.ownerRecord;
            this.logFailure(await this.peers.notifyCancelled(address, cell, id), "cancel", id, address);
        }
    }

    /** The state that the store holds: for jobs that the owner has not seen yet, or without an owner. */
    private async readStoredState(
        cell: number,
        id: string,
    ): Promise<Result<JobState | undefined, Unavailable>> {
        const [job, progress] = await Promise.all([
            this.store.get(cellKeys.job(cell, id)),
            this.store.get(cellKeys.progress(cell, id)),
        ]);
        if (job.isErr() || progress.isErr()) {
            return Err("unavailable");
        }
        if (job.value === undefined) {
            return Ok(undefined);
        }
        const held = progress.value === undefined ? undefined : jobCodec.decodeProgress(progress.value.value);
        return Ok(held?.endState ?? (held?.hasStarted === true ? JobState.Running : JobState.Queued));
    }

    /** Another process may reach the store although this one does not. */
    private async acceptThroughOwner(cell: number, id: string, text: string): Promise<SubmitOutcome> {
        const candidate = this.cells.get(cell);
        const address = candidate?.ownerRecord?.address;
        if (address === undefined || candidate?.owner !== undefined) {
            return SubmitOutcome.NotAccepted;
        }
        const answer = await this.peers.accept(address, cell, id, text);
        this.logFailure(answer, "accept", id, address);
        return answer.isOk() ? (answer.value as SubmitOutcome) : SubmitOutcome.Unknown;
    }

    private logFailure(answer: Result<unknown, string>, call: string, about: string, address: string): void {
        if (answer.isErr()) {
            this.log.write("peer-failed", {
                call,
                about,
                address,
                reason: answer.error,
                atMs: Math.round(this.clock.nowMs()),
            });
        }
    }
}
