import type { Clock } from "@samphireward/core/clock";
import type { ConfigDocument } from "@samphireward/core/config-document";
import { Counters } from "@samphireward/core/counters";
import type { TableProblem } from "@samphireward/core/table-problem";
import { Tables } from "@samphireward/core/tables";
import * as Effect from "effect/Effect";
import type { Result } from "ts-results-es";
import type { AppliedConfig } from "./applied-config.js";
import type { ConfigChangeInfo } from "./config-change-info.js";
import { ConfigHistory } from "./config-history.js";
import { ConfigLimits } from "./config-limits.js";
import { ConfigProposer } from "./config-proposer.js";
import type { ConfigProposal } from "./config-proposal.js";
import type { KeyValueStore } from "./key-value-store.js";
import type { KvEntry } from "./kv-entry.js";
import { decodeJson } from "./decode-json.js";
import type { ProposalError } from "./proposal-error.js";
import { repeatStep } from "./repeat-step.js";
import { StoredConfig } from "./stored-config.js";

interface Options {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    /** Called after each applied revision. */
    readonly onApplied?: (config: AppliedConfig) => void;
    /** Called once for each invalid document. */
    readonly onRejected?: (problems: readonly TableProblem[], source: string) => void;
}

/** Applies the configuration from the store and from peers in this process. The applied revision never decreases. */
export class ConfigFeed {
    readonly counters = Counters.create();
    private readonly changeHistory = ConfigHistory.create();
    private readonly proposer: ConfigProposer;
    private current: AppliedConfig | undefined;
    private watchRevision = 0;
    private lastStoreContactAtMs: number;
    private lastPeerContactAtMs: number;
    private lastRejectedIdentity = "";

    private constructor(private readonly options: Options) {
        this.lastStoreContactAtMs = options.clock.nowMs();
        this.lastPeerContactAtMs = this.lastStoreContactAtMs;
        this.proposer = ConfigProposer.create({
            store: options.store,
            clock: options.clock,
            history: this.changeHistory,
            applied: () => this.current?.document,
            onStored: (stored, source) => {
                this.recordStoreContact();
                this.applyIfNewer(stored, source);
            },
        });
    }

    static create(options: Options): ConfigFeed {
        return new ConfigFeed(options);
    }

    get applied(): AppliedConfig | undefined {
        return this.current;
    }

    /** Applied revision; 0 before the first configuration is applied. */
    get revision(): number {
        return this.current?.document.revision ?? 0;
    }

    /** Configuration changes known to this process, newest first. */
    get history(): ConfigChangeInfo[] {
        return this.changeHistory.newestFirst();
    }

    /** Time since the last response from the store. */
    msSinceStoreContact(): number {
        return this.options.clock.nowMs() - this.lastStoreContactAtMs;
    }

    /** Time since the last contact with the store or any peer. */
    msSinceAnyContact(): number {
        return this.options.clock.nowMs() - Math.max(this.lastStoreContactAtMs, this.lastPeerContactAtMs);
    }

    /** Records a response or a request from a peer. */
    recordPeerContact(): void {
        this.lastPeerContactAtMs = this.options.clock.nowMs();
    }

    /** Applies a document received from a peer if it is newer. Returns whether it was applied. */
    acceptFromPeer(document: ConfigDocument): boolean {
        this.recordPeerContact();
        return this.applyIfNewer(document, "peer");
    }

    /** Reads the document from the store once and applies it if it is newer. */
    async readOnce(): Promise<void> {
        const read = await this.options.store.get(ConfigLimits.key);
        if (read.isErr()) {
            this.counters.add("config.read-failed");
            return;
        }
        this.recordStoreContact();
        this.applyEntry(read.value, "read");
    }

    /** Waits for one change in the store. Returns the delay until the next call in milliseconds. */
    async watchOnce(): Promise<number> {
        const { key, maxWatchWaitMs: watchMs, retryDelayMs: retryMs } = ConfigLimits;
        const result = await this.options.store.watch(key, this.watchRevision, watchMs);
        if (result.isErr()) {
            return retryMs;
        }
        this.recordStoreContact();
        this.watchRevision = Math.max(this.watchRevision, result.value.revision);
        const entry = result.value.entries.find(found => found.key === key);
        this.applyEntry(entry, "watch");
        return 1;
    }

    /**
     * Proposes a change to the document at revision `expectedRevision` (0: no document exists). Returns the new
     * document. A proposal may be repeated: each `changeId` is applied at most once.
     */
    propose(
        expectedRevision: number,
        change: ConfigProposal,
    ): Promise<Result<ConfigDocument, ProposalError>> {
        return this.proposer.propose(expectedRevision, change);
    }

    /** Reads and watches the store until interrupted. */
    run(): Effect.Effect<never> {
        const reads = repeatStep(async () => {
            await this.readOnce();
            return ConfigLimits.readIntervalMs;
        });
        const watches = repeatStep(() => this.watchOnce());
        return Effect.raceFirst(reads, watches);
    }

    private recordStoreContact(): void {
        this.lastStoreContactAtMs = this.options.clock.nowMs();
    }

    private applyEntry(entry: KvEntry | undefined, source: string): void {
        if (entry === undefined) {
            return;
        }
        const stored = decodeJson(StoredConfig, entry.value);
        if (stored.isErr()) {
            const problem = { file: ConfigLimits.key, key: "", message: stored.error };
            this.reportRejected(entry.value, [problem], source);
            return;
        }
        this.applyIfNewer(stored.value, source);
    }

    private applyIfNewer(stored: StoredConfig, source: string): boolean {
        const { earlier = [], ...document } = stored;
        if (document.changeId === this.current?.document.changeId) {
            // A document from a peer does not include the earlier changes.
            this.changeHistory.add(earlier);
        }
        if (document.revision <= this.revision) {
            this.counters.add(document.revision < this.revision ? "config.older" : "config.same");
            return false;
        }
        const tables = Tables.create(document.routes, document.pools);
        if (tables.isErr()) {
            this.reportRejected(`${document.revision} ${document.changeId}`, tables.error, source);
            return false;
        }
        this.changeHistory.add([document, ...earlier]);
        this.current = { document, tables: tables.value };
        this.counters.add(`config.applied.${source}`);
        this.options.onApplied?.(this.current);
        return true;
    }

    /** Reports each invalid document once, although every read returns it again. */
    private reportRejected(identity: string, problems: readonly TableProblem[], source: string): void {
        this.counters.add("config.rejected");
        if (identity !== this.lastRejectedIdentity) {
            this.lastRejectedIdentity = identity;
            this.options.onRejected?.(problems, source);
        }
    }
}
