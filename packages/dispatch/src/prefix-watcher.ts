import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { sleep } from "./sleep.js";
import { StoreContact } from "./store-contact.js";
import type { StoreChange } from "./store-change.js";
import type { StoredItem } from "./stored-item.js";
import { StoreFailure } from "./store-failure.js";

/** Longest wait of one watch call; an unresponsive connection is detected soon afterwards. */
const MaxWatchWaitMs = 1_200;
const RetryDelayMs = 150;

/** Callbacks that receive the items of a prefix and their changes. */
interface PrefixListener {
    /** Called with all items after a full read; keys that are not among them do not exist. */
    readonly onItems: (items: readonly StoredItem[]) => void;
    readonly onChange: (change: StoreChange) => void;
}

/**
 * Watches the keys under a prefix: reads all of them, then watches for changes, and reads all again when the store
 * has compacted the history.
 */
export class PrefixWatcher {
    private readonly contact: StoreContact;

    private constructor(
        private readonly store: MetadataStore,
        private readonly prefix: string,
        private readonly listener: PrefixListener,
        clock: Clock,
        log: EventLog,
    ) {
        this.contact = StoreContact.create(prefix, clock, log);
    }

    static create(
        store: MetadataStore,
        prefix: string,
        listener: PrefixListener,
        clock: Clock,
        log: EventLog,
    ): PrefixWatcher {
        return new PrefixWatcher(store, prefix, listener, clock, log);
    }

    /** Watches until the signal aborts, from `fromRevision` on if the caller has read the prefix itself. */
    async run(signal: AbortSignal, fromRevision?: number): Promise<void> {
        let revision = fromRevision;
        while (!signal.aborted) {
            revision = revision === undefined ? await this.read() : await this.watch(revision, signal);
            if (revision === undefined) {
                await sleep(RetryDelayMs, signal);
            }
        }
    }

    private async read(): Promise<number | undefined> {
        const all = await readPrefix(this.store, this.prefix);
        if (all.isErr()) {
            this.contact.noteFailure(all.error);
            return undefined;
        }
        this.contact.noteResponse();
        this.listener.onItems(all.value.items);
        return all.value.revision;
    }

    /** Returns the revision to continue from; undefined to read everything again. */
    private async watch(revision: number, signal: AbortSignal): Promise<number | undefined> {
        const response = await this.store.watch(this.prefix, revision, MaxWatchWaitMs);
        if (signal.aborted) {
            return revision;
        }
        if (response.isErr()) {
            this.contact.noteFailure(response.error);
            if (response.error === StoreFailure.Compacted) {
                return undefined;
            }
            await sleep(RetryDelayMs, signal);
            return revision;
        }
        this.contact.noteResponse();
        response.value.changes.forEach(change => this.listener.onChange(change));
        return Math.max(revision, response.value.revision);
    }
}
