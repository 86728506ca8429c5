import type { Clock } from "@samphireward/core/clock";
import { createJobStatus } from "@samphireward/jobs/create-job-status";
import { hasStarted } from "@samphireward/jobs/has-started";
import { JobState } from "@samphireward/jobs/job-state";
import type { JobStatus } from "@samphireward/jobs/job-status";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CancelFailure } from "./cancel-failure.js";
import type { CellDirectory } from "./cell-directory.js";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import { jobCodec } from "./job-codec.js";
import type { JobWriter } from "./job-writer.js";
import type { MetadataStore } from "./metadata-store.js";
import type { PeerClient } from "./peer-client.js";
import { SubmitOutcome } from "./submit-outcome.js";
import { TombstoneOutcome } from "./tombstone-outcome.js";
import { TombstoneWriter } from "./tombstone-writer.js";

/** Error of a request that neither the cell's owner nor the store answered. */
type Unavailable = "unavailable";

/** Serves callers' requests about jobs in any process, with the help of the owner of the job's cell or of the store. */
export class JobGateway {
    private readonly tombstones: TombstoneWriter;

    private constructor(
        private readonly cells: CellDirectory,
        private readonly store: MetadataStore,
        private readonly writer: JobWriter,
        private readonly peers: PeerClient,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {
        this.tombstones = TombstoneWriter.create(writer, clock);
    }

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

    /** Stores a job durably. `deadlineMs` is on the monotonic clock. */
    async submit(spec: JobSpec, deadlineMs: number): Promise<SubmitOutcome> {
        const cell = this.cells.cellNumber(spec.id);
        if (cell === undefined) {
            return SubmitOutcome.NotAccepted;
        }
        const text = jobCodec.encodeJob(spec);
        let outcome = await this.writer.accept(cell, spec.id, text, deadlineMs);
        if (outcome === SubmitOutcome.NotAccepted || outcome === SubmitOutcome.Unknown) {
            const other = await this.acceptThroughOwner(cell, spec.id, text);
            outcome = other === SubmitOutcome.NotAccepted ? outcome : other;
        }
        return outcome;
    }

    /** Returns the status of a job; undefined if there is no such job. */
    async status(id: string): Promise<Result<JobStatus | undefined, Unavailable>> {
        const cell = this.cells.cellNumber(id);
        if (cell === undefined) {
            return Err("unavailable");
        }
        const candidate = this.cells.get(cell);
        const known =
            candidate?.owner?.scheduler.jobs.get(id)?.status ?? (await this.fetchStatusFromOwner(cell, id));
        return known === undefined ? this.readStoredStatus(cell, id) : Ok(known);
    }

    /**
     * Cancels a job; returns false if there is no such job. In that case a tombstone is durable, so that a submission which
     * is still on its way is not accepted.
     */
    async cancel(id: string, deadlineMs: number): Promise<Result<boolean, CancelFailure>> {
        const cell = this.cells.cellNumber(id);
        const status = await this.status(id);
        if (cell === undefined || status.isErr()) {
            return Err({ reason: "neither the owner nor the store answers" });
        }
        if (status.value === undefined) {
            switch (await this.tombstones.write(cell, id, deadlineMs)) {
                case TombstoneOutcome.Stored:
                    return Ok(false);
                case TombstoneOutcome.JobExists:
                    break;
                case TombstoneOutcome.Unavailable:
                    return Err({ reason: "the cancellation could not be stored" });
                case TombstoneOutcome.LimitReached:
                    return Err({
                        reason: "too many jobs that are not stored were cancelled",
                        retryMs: this.tombstones.retryMs,
                    });
            }
        }
        const outcome = await this.writer.cancel(cell, id, deadlineMs);
        if (outcome !== SubmitOutcome.Accepted) {
            return Err({ reason: "the cancellation could not be stored" });
        }
        await this.notifyOwner(cell, id);
        return Ok(true);
    }

    /** Returns the number of accepted jobs of a queue of which no task has started. */
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
        const response = await this.peers.waitingCount(address, cell, queue);
        this.logFailure(response, "waiting", queue, address);
        return response.unwrapOr(undefined);
    }

    private async fetchStatusFromOwner(cell: number, id: string): Promise<JobStatus | undefined> {
        const candidate = this.cells.get(cell);
        const address = candidate?.ownerRecord?.address;
        if (address === undefined || candidate?.owner !== undefined) {
            return undefined;
        }
        const response = await this.peers.jobStatus(address, cell, id);
        this.logFailure(response, "state", id, address);
        return response.unwrapOr(undefined);
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

    /** Reads the status from the store, for jobs that the owner has not read yet or when no owner responds. */
    private async readStoredStatus(
        cell: number,
        id: string,
    ): Promise<Result<JobStatus | undefined, Unavailable>> {
        const [job, progress] = await Promise.all([
            this.store.get(cellKeys.job(cell, id)),
            this.store.get(cellKeys.progress(cell, id)),
        ]);
        if (job.isErr() || progress.isErr()) {
            return Err("unavailable");
        }
        if (job.value === undefined || jobCodec.decodeTombstone(job.value.value) !== undefined) {
            return Ok(undefined);
        }
        const storedProgress =
            progress.value === undefined ? undefined : jobCodec.decodeProgress(progress.value.value);
        const { endState, endReason, failure } = storedProgress ?? {};
        const isRunning = storedProgress !== undefined && hasStarted(storedProgress);
        const state = endState ?? (isRunning ? JobState.Running : JobState.Queued);
        return Ok(createJobStatus(state, endReason, failure));
    }

    /** Asks the owner's process to store the job: it may reach the store although this process does not. */
    private async acceptThroughOwner(cell: number, id: string, text: string): Promise<SubmitOutcome> {
        const candidate = this.cells.get(cell);
        const address = candidate?.ownerRecord?.address;
        if (address === undefined || candidate?.owner !== undefined) {
            return SubmitOutcome.NotAccepted;
        }
        const response = await this.peers.accept(address, cell, id, text);
        this.logFailure(response, "accept", id, address);
        return response.unwrapOr(SubmitOutcome.Unknown);
    }

    private logFailure(
        response: Result<unknown, string>,
        call: string,
        about: string,
        address: string,
    ): void {
        if (response.isErr()) {
            this.log.write("peer-failed", {
                call,
                about,
                address,
                reason: response.error,
                atMs: Math.round(this.clock.nowMs()),
            });
        }
    }
}
