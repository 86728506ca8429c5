import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellKeys } from "./cell-keys.js";
import type { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import { resultWithin } from "./result-within.js";
import { rosterCodec } from "./roster-codec.js";
import type { Roster } from "./roster.js";

/** Longest time that a planned stop waits for the last write, as nobody extends leases before the next owner does. */
const FinalWriteMs = 250;

/** Dependencies provided by the cell's owner. */
interface RosterContext {
    readonly cell: number;
    readonly epoch: number;
    readonly scheduler: CellScheduler;
    readonly commits: CommitLog;
    readonly log: EventLog;
}

/**
 * Keeps the stored roster of a cell up to date with the workers that may hold runs. No task starts on a worker before a
 * roster that lists it is durable, so that the next owner knows which workers it has to read.
 */
export class RosterWriter {
    /** Keys of the workers that are listed in every roster that the store may hold now. */
    private listedKeys: ReadonlySet<string> = new Set();
    private isWriting = false;
    /** Whether the stored roster is still the one of a previous owner, whose leases the next one cannot rely on. */
    private isFromPreviousOwner = false;
    /** Keys of the workers that the stored roster lists with a long lease. */
    private longLeaseKeys: ReadonlySet<string> = new Set();
    /** Keys of the workers that a roster which the store may hold now lists as silent. */
    private silentKeys: ReadonlySet<string> = new Set();

    private constructor(private readonly context: RosterContext) {}

    static create(context: RosterContext): RosterWriter {
        return new RosterWriter(context);
    }

    /** Takes over the roster of the previous owner; undefined if no owner has started anything yet. */
    restore(roster: Roster | undefined): void {
        const { scheduler, epoch } = this.context;
        if (roster === undefined) {
            scheduler.expectNoInheritedWorkers();
            return;
        }
        // An owner in between, which has not written the roster, has renewed leases.
        const leasesMs = roster.epoch === epoch - 1 ? roster.leasesMs : undefined;
        scheduler.expectInheritedWorkers(roster.lives, roster.leaseMs, leasesMs);
        this.listedKeys = new Set(roster.lives);
        this.isFromPreviousOwner = true;
    }

    /**
     * Blocks starts on workers that are not listed yet. Returns whether the roster has to be written for them, or because
     * it lists workers as silent that answer again.
     */
    blockUnlistedWorkers(): boolean {
        const { scheduler } = this.context;
        let isMissing = false;
        for (const worker of scheduler.fleet.workers) {
            worker.isStartBlocked = !this.listedKeys.has(worker.key);
            isMissing ||= worker.isStartBlocked && !worker.isEnded;
            isMissing ||= worker.isLeaseFrozen && worker.isReachable;
        }
        for (const key of scheduler.unreadWorkerKeys) {
            isMissing ||= !this.listedKeys.has(key);
        }
        return isMissing && !this.isWriting;
    }

    /** Whether the next owner would wait longer than necessary, for workers that have ended or are silent. */
    get isOutdated(): boolean {
        const { workerKeysToRead, leases } = this.context.scheduler;
        return (
            !this.isWriting &&
            (this.isFromPreviousOwner ||
                workerKeysToRead.length < this.listedKeys.size ||
                [...this.longLeaseKeys].some(key => !leases.longMs.has(key)) ||
                [...leases.silentMs.keys()].some(key => !this.silentKeys.has(key)))
        );
    }

    /**
     * Writes how long the leases of silent workers last, if there are any, when nothing extends leases any more. A write
     * that the store does not answer in time may still be carried out, as long as no other owner has taken over.
     */
    async writeFinal(): Promise<void> {
        if (this.context.scheduler.leases.silentMs.size > 0) {
            await resultWithin(this.write(), FinalWriteMs);
        }
    }

    /** Writes the roster; one write at a time. An error means that another owner has taken over. */
    async write(): ReturnType<CommitLog["commit"]> {
        const { cell, epoch, scheduler, commits, log } = this.context;
        const { longMs, silentMs } = scheduler.leases;
        const roster = {
            lives: scheduler.workerKeysToRead,
            leaseMs: scheduler.maxGrantedLeaseMs,
            leasesMs: new Map([...longMs, ...silentMs]),
            epoch,
        };
        const writtenKeys = new Set(roster.lives);
        const keptKeys = new Set([...this.listedKeys].filter(key => writtenKeys.has(key)));
        const hasLost = keptKeys.size < this.listedKeys.size;
        this.isWriting = true;
        this.listedKeys = keptKeys;
        this.setSilentKeys(new Set([...this.silentKeys, ...silentMs.keys()]));
        const result = await commits.commit({
            writes: [{ key: cellKeys.roster(cell), value: rosterCodec.encode(roster) }],
        });
        this.isWriting = false;
        if (result.isOk()) {
            this.listedKeys = writtenKeys;
            this.longLeaseKeys = new Set(longMs.keys());
            this.setSilentKeys(new Set(silentMs.keys()));
            this.isFromPreviousOwner = false;
        }
        log.write("roster", {
            cell,
            workers: writtenKeys.size,
            leaseMs: roster.leaseMs,
            longLeases: longMs.size,
            silent: silentMs.size,
            hasLost,
            isDurable: result.isOk(),
        });
        return result;
    }

    private setSilentKeys(keys: ReadonlySet<string>): void {
        this.silentKeys = keys;
        this.context.scheduler.fleet.freezeLeases(keys);
    }
}
