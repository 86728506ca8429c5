import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellKeys } from "./cell-keys.js";
import type { CommitLog } from "./commit-log.js";
import type { EventLog } from "./event-log.js";
import { rosterCodec } from "./roster-codec.js";
import type { Roster } from "./roster.js";

/** What the keeper writes and reads. */
interface RosterContext {
    readonly cell: number;
    readonly scheduler: CellScheduler;
    readonly commits: CommitLog;
    readonly log: EventLog;
}

/**
 * Keeps the stored roster of a cell in step with the workers that may hold runs. No task starts on a worker before
 * the roster that names it is durable: the next owner has to know where to look.
 */
export class RosterWriter {
    /** Lives that every roster names which the store may hold now. */
    private listed: ReadonlySet<string> = new Set();
    private isWriting = false;

    private constructor(private readonly context: RosterContext) {}

    static create(context: RosterContext): RosterWriter {
        return new RosterWriter(context);
    }

    /** Takes the roster of the owner before over. */
    restore({ lives, leaseMs }: Roster): void {
        this.context.scheduler.expectInheritedWorkers(lives, leaseMs);
        this.listed = new Set(lives);
    }

    /** Holds back the workers that are not named yet. Returns whether the roster has to be written for them. */
    holdUnlistedWorkers(): boolean {
        const { scheduler } = this.context;
        for (const life of scheduler.fleet.workers) {
            life.isStartBlocked = !this.listed.has(life.key);
        }
        return !this.isWriting && scheduler.workerKeysToRead.some(life => !this.listed.has(life));
    }

    /** Whether workers are named whose lives have ended: the next owner would wait for them. */
    get hasEndedWorkers(): boolean {
        return !this.isWriting && this.context.scheduler.workerKeysToRead.length < this.listed.size;
    }

    /** Writes the roster; one write at a time. An error means that another owner has taken over. */
    async write(): ReturnType<CommitLog["commit"]> {
        const { cell, scheduler, commits, log } = this.context;
        const roster = { lives: scheduler.workerKeysToRead, leaseMs: scheduler.maxGrantedLeaseMs };
        const written = new Set(roster.lives);
        const kept = new Set([...this.listed].filter(life => written.has(life)));
        const hasLost = kept.size < this.listed.size;
        this.isWriting = true;
        this.listed = kept;
        const made = await commits.commit({
            writes: [{ key: cellKeys.roster(cell), value: rosterCodec.encode(roster) }],
        });
        this.isWriting = false;
        if (made.isOk()) {
            this.listed = written;
        }
        log.write("roster", {
            cell,
            workers: written.size,
            leaseMs: roster.leaseMs,
            hasLost,
            isDurable: made.isOk(),
        });
        return made;
    }
}
