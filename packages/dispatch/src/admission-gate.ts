import type { Clock } from "@samphireward/core/clock";
import type { RandomSource } from "@samphireward/core/random-source";
import { canBeTooLate } from "@samphireward/jobs/can-be-too-late";
import type { EndEstimate } from "@samphireward/jobs/end-estimate";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { CellDirectory } from "./cell-directory.js";
import { cellKeys } from "./cell-keys.js";
import { jobCodec } from "./job-codec.js";
import type { MetadataStore } from "./metadata-store.js";
import type { PeerClient } from "./peer-client.js";

/** Time for which a queue's jobs are accepted without asking the owner after it has reported no scarcity. */
const NotScarceMs = 300;
/** Time for which a queue's jobs are accepted without asking the owner again after it did not answer. */
const NoAnswerMs = 2_000;
/** Shortest and longest base of the time after which a refused caller may retry. */
const MinRetryMs = 1_000;
const MaxRetryMs = 60_000;
/** Least range over which retries are spread. `Retry-After` has whole seconds, so that less would give all the same. */
const MinSpreadMs = 4_000;

/** Dependencies of the gate. */
interface GateContext {
    readonly cells: CellDirectory;
    readonly store: Pick<MetadataStore, "get">;
    readonly peers: Pick<PeerClient, "endEstimate">;
    readonly clock: Clock;
    readonly random: RandomSource;
}

/**
 * Refuses jobs whose results could not be of use any more, by the estimate of the owner of the job's cell. A job of which
 * anything is unclear is accepted.
 */
export class AdmissionGate {
    /** Monotonic times until which jobs are accepted without asking the owner, by cell and queue. */
    private readonly openUntilMs = new Map<string, number>();

    private constructor(private readonly context: GateContext) {}

    static create(context: GateContext): AdmissionGate {
        return new AdmissionGate(context);
    }

    /** Time after which the caller of a refused job may retry, in milliseconds; undefined if the job may be accepted. */
    async refuse(spec: JobSpec): Promise<number | undefined> {
        // The owner's answer for such a job says nothing about the queue's other jobs.
        if (!canBeTooLate(spec)) {
            return undefined;
        }
        const { cells, store, clock, random } = this.context;
        const cell = cells.cellNumber(spec.id);
        const key = `${cell} ${spec.queue}`;
        if (cell === undefined || clock.nowMs() < (this.openUntilMs.get(key) ?? -Infinity)) {
            return undefined;
        }
        const estimate = await this.ask(cell, spec);
        if (estimate?.isScarce !== true) {
            const openMs = estimate === undefined ? NoAnswerMs : NotScarceMs;
            this.openUntilMs.set(key, clock.nowMs() + openMs);
            return undefined;
        }
        if (estimate.isUseful) {
            return undefined;
        }
        // A job that was accepted before may not have reached its owner yet, or may have ended and been forgotten there.
        const stored = await store.get(cellKeys.job(cell, spec.id));
        if (stored.isErr() || stored.value !== undefined) {
            return undefined;
        }
        const baseMs = Math.min(MaxRetryMs, Math.max(MinRetryMs, estimate.usefulInMs));
        return baseMs + random.next() * Math.max(MinSpreadMs, baseMs);
    }

    /** The owner's estimate; undefined if there is no owner or no answer. */
    private async ask(cell: number, spec: JobSpec): Promise<EndEstimate | undefined> {
        const { cells, peers } = this.context;
        const candidate = cells.get(cell);
        if (candidate?.owner !== undefined) {
            return candidate.owner.scheduler.admission.estimate(spec);
        }
        const address = candidate?.ownerRecord?.address;
        if (address === undefined) {
            return undefined;
        }
        const answer = await peers.endEstimate(address, cell, spec.id, jobCodec.encodeJob(spec));
        return answer.unwrapOr(undefined);
    }
}
