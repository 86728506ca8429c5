import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { EventLog } from "./event-log.js";
import { sleep } from "./sleep.js";
import type { WorkerSource } from "./worker-source.js";

/** Time between two readings: a worker that drains gets no new work after at most this and the reading itself. */
const PollIntervalMs = 700;
const RetryDelayMs = 150;

/** Who is told of workers. */
interface WorkerListener {
    readonly onRegistered: (entry: WorkerEntry) => void;
    readonly onRemoved: (id: string) => void;
}

/**
 * Reads the workers' registrations again and again while it is needed. Workers write theirs every second or two,
 * so one reading of all costs the store less than a watch, which reports each of those writes.
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

    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const isRead = this.isNeeded() ? await this.refresh() : true;
            await sleep(isRead ? PollIntervalMs : RetryDelayMs, signal);
        }
    }

    /** Reads the registrations now. */
    async refresh(): Promise<boolean> {
        const number = ++this.readCount;
        const entries = await this.source.read();
        if (entries.isErr()) {
            this.log.write("workers-unread", { failure: entries.error, known: this.known.size });
            return false;
        }
        if (number === this.readCount) {
            this.replace(entries.value);
        }
        return true;
    }

    private replace(entries: readonly WorkerEntry[]): void {
        const before = this.known;
        this.known = new Map(entries.map(entry => [entry.id, entry]));
        for (const id of before.keys()) {
            if (!this.known.has(id)) {
                this.log.write("worker-gone", { worker: id });
                this.listener.onRemoved(id);
            }
        }
        for (const entry of entries) {
            const old = before.get(entry.id);
            if (old?.startedAtMs !== entry.startedAtMs || old.isDraining !== entry.isDraining) {
                const { id, startedAtMs: bornMs, isDraining, address } = entry;
                this.log.write("worker-seen", { worker: id, bornMs, isDraining, address });
            }
            this.listener.onRegistered(entry);
        }
    }
}
