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

/** A roster to write, and what it says. */
interface RosterContents {
    readonly roster: Roster;
    /** Keys of the workers with a long lease. */
    readonly longKeys: ReadonlySet<string>;
    /** Keys of the workers that it names as silent. */
    readonly silentKeys: ReadonlySet<string>;
    /** Whether it lacks workers that the one before listed. */
    readonly hasLost: boolean;
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

    /**
     * Takes over the roster of the previous owner; undefined if no owner has started anything yet. Its silent workers are
     * waited for by `extraWaitMs` more than the lease that was granted.
     */
    restore(roster: Roster | undefined, extraWaitMs = 0): void {
        const { scheduler, epoch } = this.context;
        if (roster === undefined) {
            scheduler.expectNoInheritedWorkers();
            return;
        }
        // An owner in between, which has not written the roster, has renewed leases.
        const leasesMs = roster.epoch === epoch - 1 ? roster.leasesMs : undefined;
        scheduler.expectInheritedWorkers(roster.lives, roster.leaseMs, leasesMs, extraWaitMs);
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

    /**
     * Writes the roster; one write at a time. An error means that another owner has taken over. Without `addsSilent`, only
     * those silent workers are named that the stored roster may name already: the others may not have had the time to
     * answer.
     */
    async write({ addsSilent } = { addsSilent: true }): ReturnType<CommitLog["commit"]> {
        const { cell, commits, log } = this.context;
        const sent: { contents?: RosterContents } = {};
        this.isWriting = true;
        const result = await commits.commit(() => {
            sent.contents = this.prepare(addsSilent);
            return {
                writes: [{ key: cellKeys.roster(cell), value: rosterCodec.encode(sent.contents.roster) }],
            };
        });
        this.isWriting = false;
        if (sent.contents === undefined) {
            return result;
        }
        const { roster, longKeys, silentKeys, hasLost } = sent.contents;
        if (result.isOk()) {
            this.listedKeys = new Set(roster.lives);
            this.longLeaseKeys = longKeys;
            this.setSilentKeys(silentKeys);
            this.isFromPreviousOwner = false;
        }
        log.write("roster", {
            cell,
            workers: roster.lives.length,
            leaseMs: roster.leaseMs,
            longLeases: longKeys.size,
            silent: silentKeys.size,
            hasLost,
            isDurable: result.isOk(),
        });
        return result;
    }

    /** Returns what to write now. From here on the store may hold it. */
    private prepare(addsSilent: boolean): RosterContents {
        const { epoch, scheduler } = this.context;
        const { longMs, silentMs } = scheduler.leases;
        const namedMs = new Map([...silentMs].filter(([key]) => addsSilent || this.silentKeys.has(key)));
        const lives = scheduler.workerKeysToRead;
        const keys = new Set(lives);
        const keptKeys = new Set([...this.listedKeys].filter(key => keys.has(key)));
        const hasLost = keptKeys.size < this.listedKeys.size;
        this.listedKeys = keptKeys;
        this.setSilentKeys(new Set([...this.silentKeys, ...namedMs.keys()]));
        return {
            roster: {
                lives,
                leaseMs: scheduler.maxGrantedLeaseMs,
                leasesMs: new Map([...longMs, ...namedMs]),
                epoch,
            },
            longKeys: new Set(longMs.keys()),
            silentKeys: new Set(namedMs.keys()),
            hasLost,
        };
    }

    private setSilentKeys(keys: ReadonlySet<string>): void {
        this.silentKeys = keys;
        this.context.scheduler.fleet.freezeLeases(keys);
    }
}
