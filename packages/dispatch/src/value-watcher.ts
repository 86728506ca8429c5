import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { sleep } from "./sleep.js";
import { StoreContact } from "./store-contact.js";
import { StoreFailure } from "./store-failure.js";

/** Longest wait of one watch call; an unresponsive connection is detected soon afterwards. */
const MaxWatchWaitMs = 1_200;
const RetryDelayMs = 150;
/** Time to receive a value from which it counts as large for the link. */
const LargeTransferMs = 100;
/** Pause after a large value, as a share of the time that it took to receive it. */
const PauseRatio = 0.5;

/** Called with each value that was received, and not with each value that the key had. */
type OnValue = (value: string) => void;

/** What a watcher has received. */
interface Progress {
    /** Revision of the value; 0 if the key does not exist. */
    readonly valueRevision: number;
    /** Revision from which a watch misses no later value. */
    readonly watchRevision: number;
    /** Whether a watch returns few values; otherwise the newest one has to be read first. */
    readonly isUpToDate: boolean;
}

/**
 * Watches the newest value of one key. A watch returns each value that the key had meanwhile, so that large values that
 * change often would fill the link to the store. After a value that took long to receive, this watcher pauses in
 * proportion. Then, and after a call that failed, it reads the newest value, if there is another one, and skips those
 * in between.
 */
export class ValueWatcher {
    private readonly contact: StoreContact;

    private constructor(
        private readonly store: MetadataStore,
        private readonly key: string,
        private readonly onValue: OnValue,
        clock: Clock,
        log: EventLog,
    ) {
        this.contact = StoreContact.create(key, clock, log);
    }

    static create(
        store: MetadataStore,
        key: string,
        onValue: OnValue,
        clock: Clock,
        log: EventLog,
    ): ValueWatcher {
        return new ValueWatcher(store, key, onValue, clock, log);
    }

    /** Monotonic time of the store's last response. */
    get lastResponseAtMs(): number {
        return this.contact.lastResponseAtMs;
    }

    /** Watches until the signal aborts. */
    async run(signal: AbortSignal): Promise<void> {
        let progress: Progress | undefined;
        while (!signal.aborted) {
            if (progress === undefined) {
                progress = await this.readFirst(signal);
            } else if (progress.isUpToDate) {
                progress = await this.watch(progress, signal);
            } else {
                progress = await this.readNewest(progress, signal);
            }
        }
    }

    private async readFirst(signal: AbortSignal): Promise<Progress | undefined> {
        const content = await readPrefix(this.store, this.key);
        if (content.isErr()) {
            await this.handleFailure(content.error, signal);
            return undefined;
        }
        this.contact.noteResponse();
        const { items, revision, transferMs } = content.value;
        const item = items.find(({ key }) => key === this.key);
        if (item !== undefined) {
            this.onValue(item.value);
        }
        const isUpToDate = await this.pauseAfter(transferMs, signal);
        return { valueRevision: item?.revision ?? 0, watchRevision: revision, isUpToDate };
    }

    /** Returns undefined if the history that the watch needs is no longer there. */
    private async watch(progress: Progress, signal: AbortSignal): Promise<Progress | undefined> {
        const response = await this.store.watch(this.key, progress.watchRevision, MaxWatchWaitMs);
        if (signal.aborted) {
            return progress;
        }
        if (response.isErr()) {
            await this.handleFailure(response.error, signal);
            return response.error === StoreFailure.Compacted ? undefined : { ...progress, isUpToDate: false };
        }
        this.contact.noteResponse();
        const { changes, revision, transferMs } = response.value;
        const newest = changes.filter(({ key }) => key === this.key).at(-1);
        if (newest?.value !== undefined) {
            this.onValue(newest.value);
        }
        return {
            valueRevision: newest?.revision ?? progress.valueRevision,
            watchRevision: Math.max(progress.watchRevision, revision),
            isUpToDate: await this.pauseAfter(transferMs, signal),
        };
    }

    private async readNewest(progress: Progress, signal: AbortSignal): Promise<Progress> {
        const response = await this.store.getIfChanged(this.key, progress.valueRevision);
        if (signal.aborted) {
            return progress;
        }
        if (response.isErr()) {
            await this.handleFailure(response.error, signal);
            return progress;
        }
        this.contact.noteResponse();
        const { item, transferMs } = response.value;
        if (item === undefined) {
            return { ...progress, isUpToDate: true };
        }
        this.onValue(item.value);
        return {
            valueRevision: item.revision,
            watchRevision: Math.max(progress.watchRevision, item.revision),
            isUpToDate: await this.pauseAfter(transferMs, signal),
        };
    }

    /** Pauses if a value took long to receive. Returns whether it did not, so that few others can have followed. */
    private async pauseAfter(transferMs: number, signal: AbortSignal): Promise<boolean> {
        if (transferMs < LargeTransferMs) {
            return true;
        }
        await sleep(transferMs * PauseRatio, signal);
        return false;
    }

    private async handleFailure(failure: StoreFailure, signal: AbortSignal): Promise<void> {
        this.contact.noteFailure(failure);
        await sleep(RetryDelayMs, signal);
    }
}
