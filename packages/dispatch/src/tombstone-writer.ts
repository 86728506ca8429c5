import type { Clock } from "@samphireward/core/clock";
import type { JobWriter } from "./job-writer.js";
import { tombstoneLimits } from "./tombstone-limits.js";
import { TombstoneOutcome } from "./tombstone-outcome.js";

/** Longest time for which a tombstone is in the store while its cell has an owner, in milliseconds. */
const LifetimeMs = tombstoneLimits.retentionMs + tombstoneLimits.cleanupIntervalMs;

/** A tombstone that this process has stored or is storing; times are on the monotonic clock. */
interface WrittenTombstone {
    readonly startedAtMs: number;
    /** Whether the store has confirmed it. */
    isStored: boolean;
}

/** Stores tombstones for jobs that callers cancel and that are not stored, up to a limit for the process. */
export class TombstoneWriter {
    /** By job id, in the order of `startedAtMs`. */
    private readonly written = new Map<string, WrittenTombstone>();

    private constructor(
        private readonly writer: JobWriter,
        private readonly clock: Clock,
    ) {}

    static create(writer: JobWriter, clock: Clock): TombstoneWriter {
        return new TombstoneWriter(writer, clock);
    }

    /** Time until a further tombstone may be stored, in milliseconds; 0 if one may be stored now. */
    get retryMs(): number {
        this.forgetExpired();
        const [oldest] = this.written.values();
        return oldest === undefined || this.written.size < tombstoneLimits.perProcess
            ? 0
            : oldest.startedAtMs + LifetimeMs - this.clock.nowMs();
    }

    /** Stores the tombstone of a job. `deadlineMs` is on the monotonic clock. */
    async write(cell: number, id: string, deadlineMs: number): Promise<TombstoneOutcome> {
        const earlier = this.written.get(id);
        const startedAtMs = this.clock.nowMs();
        if (
            earlier?.isStored === true &&
            startedAtMs - earlier.startedAtMs < tombstoneLimits.rewriteAfterMs
        ) {
            return TombstoneOutcome.Stored;
        }
        if (earlier === undefined && this.retryMs > 0) {
            return TombstoneOutcome.LimitReached;
        }
        const current: WrittenTombstone = { startedAtMs, isStored: false };
        // Deleted first, so that the map stays in the order of time.
        this.written.delete(id);
        this.written.set(id, current);
        const outcome = await this.writer.writeTombstone(cell, id, deadlineMs);
        current.isStored = outcome === TombstoneOutcome.Stored;
        if (outcome === TombstoneOutcome.JobExists && this.written.get(id) === current) {
            this.written.delete(id);
        }
        return outcome;
    }

    private forgetExpired(): void {
        const nowMs = this.clock.nowMs();
        for (const [id, { startedAtMs }] of this.written) {
            if (nowMs - startedAtMs < LifetimeMs) {
                return;
            }
            this.written.delete(id);
        }
    }
}
