import type { Clock } from "@samphireward/core/clock";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { sleep } from "./sleep.js";
import type { StoreChange } from "./store-change.js";
import type { StoredItem } from "./stored-item.js";
import { StoreFailure } from "./store-failure.js";

/** Longest wait of one watch call; a silent connection is noticed soon after. */
const MaxWatchWaitMs = 1_200;
const RetryDelayMs = 150;

/** Who is told of a prefix. */
interface PrefixListener {
    /** All items as they were read; what is not among them does not exist. */
    readonly onItems: (items: readonly StoredItem[]) => void;
    readonly onChange: (change: StoreChange) => void;
}

/** Follows the keys below a prefix: reads them all, then watches, and reads again when history is lost. */
export class PrefixWatcher {
    /** Monotonic time of the last answer of the store. */
    lastAnswerAtMs = -Infinity;
    private isUnreachable = false;

    private constructor(
        private readonly store: MetadataStore,
        private readonly prefix: string,
        private readonly listener: PrefixListener,
        private readonly clock: Clock,
        private readonly log: EventLog,
    ) {}

    static create(
        store: MetadataStore,
        prefix: string,
        listener: PrefixListener,
        clock: Clock,
        log: EventLog,
    ): PrefixWatcher {
        return new PrefixWatcher(store, prefix, listener, clock, log);
    }

    /** Follows until the signal aborts, from `revision` if the caller has read the prefix itself. */
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
            this.handleFailure(all.error);
            return undefined;
        }
        this.handleAnswer();
        this.listener.onItems(all.value.items);
        return all.value.revision;
    }

    /** The revision to go on from; undefined to read everything again. */
    private async watch(revision: number, signal: AbortSignal): Promise<number | undefined> {
        const answer = await this.store.watch(this.prefix, revision, MaxWatchWaitMs);
        if (signal.aborted) {
            return revision;
        }
        if (answer.isErr()) {
            this.handleFailure(answer.error);
            if (answer.error === StoreFailure.Compacted) {
                return undefined;
            }
            await sleep(RetryDelayMs, signal);
            return revision;
        }
        this.handleAnswer();
        answer.value.changes.forEach(change => this.listener.onChange(change));
        return Math.max(revision, answer.value.revision);
    }

    private handleAnswer(): void {
        this.lastAnswerAtMs = this.clock.nowMs();
        if (this.isUnreachable) {
            this.isUnreachable = false;
            this.log.write("store-regained", { prefix: this.prefix });
        }
    }

    private handleFailure(failure: StoreFailure): void {
        if (!this.isUnreachable) {
            this.isUnreachable = true;
            this.log.write("store-lost", { prefix: this.prefix, failure });
        }
    }
}
