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
import { parseStoredConfig } from "./parse-stored-config.js";
import type { ProposalError } from "./proposal-error.js";
import { repeatStep } from "./repeat-step.js";
import type { StoredConfig } from "./stored-config.js";

interface Options {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    /** Called after each applied revision. */
    readonly onApplied?: (config: AppliedConfig) => void;
    /** Called once for each document that is not applied because it is invalid. */
    readonly onRejected?: (problems: readonly TableProblem[], source: string) => void;
}

/** The configuration in force in this process. Its revision only ever increases. */
export class ConfigFeed {
    readonly counters = Counters.create();
    private readonly seen = ConfigHistory.create();
    private readonly proposer: ConfigProposer;
    private current: AppliedConfig | undefined;
    private watchRevision = 0;
    private storeContactMs: number;
    private peerContactMs: number;
    private lastRejected = "";

    private constructor(private readonly options: Options) {
        this.storeContactMs = options.clock.nowMs();
        this.peerContactMs = this.storeContactMs;
        this.proposer = ConfigProposer.create({
            store: options.store,
            clock: options.clock,
            history: this.seen,
            applied: () => this.current?.document,
            onStored: (stored, source) => {
                this.noteStoreContact();
                this.accept(stored, source);
            },
        });
    }

    static create(options: Options): ConfigFeed {
        return new ConfigFeed(options);
    }

    get applied(): AppliedConfig | undefined {
        return this.current;
    }

    /** Applied revision; 0 before the first. */
    get revision(): number {
        return this.current?.document.revision ?? 0;
    }

    /** Changes that this process has seen, newest first. */
    get history(): ConfigChangeInfo[] {
        return this.seen.newestFirst();
    }

    /** Time without an answer from the store, and without one from any peer. */
    storeSilenceMs(): number {
        return this.options.clock.nowMs() - this.storeContactMs;
    }

    /** Time in which this process has reached neither the store nor a peer. */
    noContactMs(): number {
        return this.options.clock.nowMs() - Math.max(this.storeContactMs, this.peerContactMs);
    }

    /** Notes that a peer has answered or called. */
    notePeerContact(): void {
        this.peerContactMs = this.options.clock.nowMs();
    }

    /** Takes a document from a peer. Returns whether it was applied. */
    offer(document: ConfigDocument): boolean {
        this.notePeerContact();
        return this.accept(document, "peer");
    }

    /** Reads the store once. */
    async readOnce(): Promise<void> {
        const read = await this.options.store.get(ConfigLimits.key);
        if (read.isErr()) {
            this.counters.add("config.read-failed");
            return;
        }
        this.noteStoreContact();
        this.acceptEntry(read.value, "read");
    }

    /** Waits for one change in the store. Returns the pause until the next call in milliseconds. */
    async watchOnce(): Promise<number> {
        const { key, watchMs, retryMs } = ConfigLimits;
        const result = await this.options.store.watch(key, this.watchRevision, watchMs);
        if (result.isErr()) {
            return retryMs;
        }
        this.noteStoreContact();
        this.watchRevision = Math.max(this.watchRevision, result.value.revision);
        const entry = result.value.entries.find(found => found.key === key);
        this.acceptEntry(entry, "watch");
        return 1;
    }

    /**
     * Proposes a change of the document with revision `expectedRevision` (0: there is none). Returns the new
     * document. The same proposal may be repeated: its `changeId` is accepted once.
     */
    propose(
        expectedRevision: number,
        change: ConfigProposal,
    ): Promise<Result<ConfigDocument, ProposalError>> {
        return this.proposer.propose(expectedRevision, change);
    }

    /** Follows the store until interrupted. */
    run(): Effect.Effect<never> {
        const reads = repeatStep(async () => {
            await this.readOnce();
            return ConfigLimits.readEveryMs;
        });
        const watches = repeatStep(() => this.watchOnce());
        return Effect.raceFirst(reads, watches);
    }

    private noteStoreContact(): void {
        this.storeContactMs = this.options.clock.nowMs();
    }

    private acceptEntry(entry: KvEntry | undefined, source: string): void {
        if (entry === undefined) {
            return;
        }
        const stored = parseStoredConfig(entry.value);
        if (stored.isErr()) {
            const problem = { file: ConfigLimits.key, key: "", message: stored.error };
            this.reject(entry.value, [problem], source);
            return;
        }
        this.accept(stored.value, source);
    }

    private accept(stored: StoredConfig, source: string): boolean {
        const { earlier = [], ...document } = stored;
        if (document.changeId === this.current?.document.changeId) {
            // A document from a peer came without the changes before it.
            this.seen.add(earlier);
        }
        if (document.revision <= this.revision) {
            this.counters.add(document.revision < this.revision ? "config.older" : "config.same");
            return false;
        }
        const tables = Tables.create(document.routes, document.pools);
        if (tables.isErr()) {
            this.reject(`${document.revision} ${document.changeId}`, tables.error, source);
            return false;
        }
        this.seen.add([document, ...earlier]);
        this.current = { document, tables: tables.value };
        this.counters.add(`config.applied.${source}`);
        this.options.onApplied?.(this.current);
        return true;
    }

    /** Reports a document once, although each read finds it again. */
    private reject(identity: string, problems: readonly TableProblem[], source: string): void {
        this.counters.add("config.rejected");
        if (identity !== this.lastRejected) {
            this.lastRejected = identity;
            this.options.onRejected?.(problems, source);
        }
    }
}
