import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { EventLog } from "./event-log.js";
import { sleep } from "./sleep.js";
import type { WorkerSource } from "./worker-source.js";

/** Pause between two reads: a draining worker gets no new work after at most this time and the duration of a read. */
const PollIntervalMs = 700;
const RetryDelayMs = 150;

/** Callbacks that receive the registrations and their removals. */
interface WorkerListener {
    readonly onRegistered: (entry: WorkerEntry) => void;
    readonly onRemoved: (id: string) => void;
}

/**
 * Polls the workers' registrations while they are needed. Workers rewrite theirs every one to two seconds, so that a
 * read of all costs the store less than a watch, which reports each of those writes.
 */
export class WorkerPoller {
    private known: ReadonlyMap<string, WorkerEntry> = new Map();
    private readCount = 0;

    private constructor(
        private readonly source: WorkerSource,
        private readonly listener: WorkerListener,
        private readonly isNeeded: () => boolean,
        private readonly log: EventLog,
    ) {}

    static create(
        source: WorkerSource,
        listener: WorkerListener,
        isNeeded: () => boolean,
        log: EventLog,
    ): WorkerPoller {
        return new WorkerPoller(source, listener, isNeeded, log);
    }

    /** Registrations as last read. */
    get entries(): Iterable<WorkerEntry> {
        return this.known.values();
    }

    /**
     * Reads the registrations now; none if they cannot be read, and the next read reports them. Those read before may be of
     * a time at which this process needed them last, so that workers which have left since would be used again.
     */
    async readCurrent(): Promise<readonly WorkerEntry[]> {
        return (await this.refresh()) ? [...this.known.values()] : [];
    }

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const isSuccessful = this.isNeeded() ? await this.refresh() : true;
            await sleep(isSuccessful ? PollIntervalMs : RetryDelayMs, signal);
        }
    }

    /** Reads the registrations now. Returns whether they could be read, and no later read has begun. */
    async refresh(): Promise<boolean> {
        const readNumber = ++this.readCount;
        const entries = await this.source.read();
        if (entries.isErr()) {
            this.log.write("workers-unread", { failure: entries.error, known: this.known.size });
            return false;
        }
        if (readNumber !== this.readCount) {
            return false;
        }
        this.replace(entries.value);
        return true;
    }

    private replace(entries: readonly WorkerEntry[]): void {
        const previousEntries = this.known;
        this.known = new Map(entries.map(entry => [entry.id, entry]));
        for (const id of previousEntries.keys()) {
            if (!this.known.has(id)) {
                this.log.write("worker-gone", { worker: id });
                this.listener.onRemoved(id);
            }
        }
        for (const entry of entries) {
            const previous = previousEntries.get(entry.id);
            if (previous?.startedAtMs !== entry.startedAtMs || previous.isDraining !== entry.isDraining) {
                const { id, startedAtMs: bornMs, isDraining, address } = entry;
                this.log.write("worker-seen", { worker: id, bornMs, isDraining, address });
            }
            this.listener.onRegistered(entry);
        }
    }
}
