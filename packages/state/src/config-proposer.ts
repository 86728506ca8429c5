import type { Clock } from "@samphireward/core/clock";
import type { ConfigDocument } from "@samphireward/core/config-document";
import type { ResultCode as Code } from "@samphireward/core/result-code";
import { ResultCode } from "@samphireward/core/result-code";
import { Tables } from "@samphireward/core/tables";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { ConfigHistory } from "./config-history.js";
import { ConfigLimits } from "./config-limits.js";
import type { ConfigProposal } from "./config-proposal.js";
import type { KeyValueStore } from "./key-value-store.js";
import { decodeJson } from "./decode-json.js";
import type { ProposalError } from "./proposal-error.js";
import { StoreErrorKind } from "./store-error-kind.js";
import { StoredConfig } from "./stored-config.js";

interface Options {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly history: ConfigHistory;
    /** The document that this process has applied. */
    readonly applied: () => ConfigDocument | undefined;
    /** Called with each document read from or written to the store. */
    readonly onStored: (stored: StoredConfig, source: string) => void;
}

interface BaseDocument {
    /** Store revision of the key; 0 when it is absent. */
    readonly keyRevision: number;
    /** Newest known document: the stored one, or the applied one when that is newer or the stored one is invalid. */
    readonly document: StoredConfig | undefined;
}

type ProposalResult = Result<ConfigDocument, ProposalError>;

const failure = (code: Code, message: string, current?: ConfigDocument): ProposalResult =>
    Err({ code, message, ...(current === undefined ? {} : { current }) });

const withoutHistory = ({ earlier, ...document }: StoredConfig): ConfigDocument => {
    void earlier;
    return document;
};

/** Writes configuration changes by compare-and-swap. The change ID resolves the outcome of a lost response. */
export class ConfigProposer {
    private constructor(private readonly options: Options) {}

    static create(options: Options): ConfigProposer {
        return new ConfigProposer(options);
    }

    async propose(expectedRevision: number, change: ConfigProposal): Promise<ProposalResult> {
        const tables = Tables.create(change.routes, change.pools);
        if (tables.isErr()) {
            const message = "the tables are invalid";
            return Err({ code: ResultCode.TablesInvalid, message, problems: tables.error });
        }
        let mayBeWritten = false;
        for (let attempt = 0; attempt < ConfigLimits.maxProposalAttempts; attempt += 1) {
            const base = await this.readBase();
            if (base.isErr()) {
                continue;
            }
            const decided = this.findOutcome(expectedRevision, change, base.value, mayBeWritten);
            if (decided !== undefined) {
                return decided;
            }
            const next = this.nextDocument(expectedRevision, change, base.value.document);
            const { key } = ConfigLimits;
            const value = JSON.stringify(next);
            const written = await this.options.store.put(key, value, base.value.keyRevision);
            if (written.isOk()) {
                this.options.onStored(next, "proposal");
                return Ok(withoutHistory(next));
            }
            mayBeWritten ||= written.error.kind === StoreErrorKind.MayBeApplied;
        }
        return mayBeWritten
            ? failure(ResultCode.ConnectionLost, "the store did not answer; the change may have been applied")
            : failure(ResultCode.StoreUnavailable, "the store did not answer; the change was not applied");
    }

    /** Reads the document to change. If the stored one is invalid or older, the applied document is used instead. */
    private async readBase(): Promise<Result<BaseDocument, string>> {
        const read = await this.options.store.get(ConfigLimits.key);
        if (read.isErr()) {
            return Err(read.error.message);
        }
        const keyRevision = read.value?.revision ?? 0;
        const parsed = read.value === undefined ? undefined : decodeJson(StoredConfig, read.value.value);
        const stored = parsed?.isOk() ? parsed.value : undefined;
        const applied = this.options.applied();
        if (stored === undefined || stored.revision < (applied?.revision ?? 0)) {
            return Ok({ keyRevision, document: applied });
        }
        this.options.onStored(stored, "read");
        return Ok({ keyRevision, document: stored });
    }

    /** The outcome, as far as the known documents determine it; `undefined` when the change must still be written. */
    private findOutcome(
        expectedRevision: number,
        change: ConfigProposal,
        base: BaseDocument,
        mayBeWritten: boolean,
    ): ProposalResult | undefined {
        const { document } = base;
        if (document === undefined) {
            return expectedRevision === 0
                ? undefined
                : failure(ResultCode.ConfigConflict, "there is no document yet");
        }
        const known = [document, ...(document.earlier ?? []), ...this.options.history.newestFirst()];
        const own = known.find(found => found.changeId === change.changeId);
        if (own !== undefined) {
            const { changeId, author, routes, pools } = change;
            return Ok({ revision: own.revision, timeMs: own.timeMs, changeId, author, routes, pools });
        }
        if (document.revision === expectedRevision) {
            return undefined;
        }
        const current = withoutHistory(document);
        const isNextKnown = known.some(found => found.revision === expectedRevision + 1);
        if (mayBeWritten && !isNextKnown) {
            return failure(ResultCode.ConnectionLost, "the change may have been applied", current);
        }
        const message = `revision ${document.revision} by ${document.author} was applied first`;
        return failure(ResultCode.ConfigConflict, message, current);
    }

    private nextDocument(
        expectedRevision: number,
        change: ConfigProposal,
        base: StoredConfig | undefined,
    ): StoredConfig {
        const { changeId, author, routes, pools } = change;
        const revision = expectedRevision + 1;
        const before =
            base === undefined ? [] : [base, ...(base.earlier ?? this.options.history.newestFirst())];
        const earlier = before
            .filter((found, index) => index === 0 || found.revision < (base?.revision ?? 0))
            .slice(0, ConfigLimits.maxStoredChanges)
            .map(found => ({
                revision: found.revision,
                changeId: found.changeId,
                author: found.author,
                timeMs: found.timeMs,
            }));
        const timeMs = Math.round(this.options.clock.wallMs());
        return { revision, changeId, author, timeMs, routes, pools, earlier };
    }
}
