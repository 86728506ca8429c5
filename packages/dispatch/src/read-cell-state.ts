import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import type { CellState } from "./cell-state.js";
import type { EventLog } from "./event-log.js";
import { itemsUnderPrefix } from "./items-under-prefix.js";
import { jobCodec } from "./job-codec.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { rosterCodec } from "./roster-codec.js";
import type { Roster } from "./roster.js";
import { sleep } from "./sleep.js";
import type { StoredItem } from "./stored-item.js";
import type { StoreFailure } from "./store-failure.js";
import { storedRecords } from "./stored-records.js";

const RetryDelayMs = 100;

/** Called with the key of each entry that cannot be decoded. */
type OnUnreadable = (key: string) => void;

/**
 * Decodes the items under a prefix, by what follows it in their keys; omits and reports those that cannot be decoded.
 */
const decodeUnderPrefix = <T>(
    items: readonly StoredItem[],
    prefix: string,
    decode: (text: string) => T | undefined,
    onUnreadable: OnUnreadable,
): ReadonlyMap<string, T> => {
    const byId = new Map<string, T>();
    for (const { id, key, value } of itemsUnderPrefix(items, prefix)) {
        const decoded = decode(value);
        if (decoded === undefined) {
            onUnreadable(key);
        } else {
            byId.set(id, decoded);
        }
    }
    return byId;
};

const decodeEffects = (item: StoredItem | undefined, onUnreadable: OnUnreadable): CellState["effects"] => {
    const effects = item === undefined ? undefined : storedRecords.decodeEffects(item.value);
    if (item !== undefined && effects === undefined) {
        onUnreadable(item.key);
    }
    return effects;
};

const decodeRoster = (item: StoredItem | undefined, onUnreadable: OnUnreadable): Roster => {
    const roster = rosterCodec.decode(item?.value);
    if (item !== undefined && roster === rosterCodec.unreadable) {
        onUnreadable(item.key);
    }
    return roster;
};

const readOnce = async (
    store: MetadataStore,
    cell: number,
    onUnreadable: OnUnreadable,
): Promise<Result<CellState, StoreFailure>> => {
    const [effects, roster, progress, input] = await Promise.all([
        store.get(cellKeys.effects(cell)),
        store.get(cellKeys.roster(cell)),
        readPrefix(store, cellKeys.progressPrefix(cell)),
        readPrefix(store, cellKeys.inputPrefix(cell)),
    ]);
    if (effects.isErr()) {
        return Err(effects.error);
    }
    if (roster.isErr()) {
        return Err(roster.error);
    }
    if (progress.isErr()) {
        return Err(progress.error);
    }
    if (input.isErr()) {
        return Err(input.error);
    }
    const progressPrefix = cellKeys.progressPrefix(cell);
    const progressByJob = decodeUnderPrefix(
        progress.value.items,
        progressPrefix,
        jobCodec.decodeProgress,
        onUnreadable,
    );
    const { items, revision } = input.value;
    const jobs = decodeUnderPrefix(items, cellKeys.job(cell, ""), jobCodec.decodeJob, onUnreadable);
    return Ok({
        jobs: [...jobs.values()].map(spec => ({ spec, progress: progressByJob.get(spec.id) })),
        cancelled: itemsUnderPrefix(items, cellKeys.cancellation(cell, "")).map(({ id }) => id),
        roster: decodeRoster(roster.value, onUnreadable),
        effects: decodeEffects(effects.value, onUnreadable),
        revision,
    });
};

/** Reads a cell's state and retries until the store responds; undefined if the signal aborts. */
export const readCellState = async (
    store: MetadataStore,
    cell: number,
    log: EventLog,
    signal: AbortSignal,
): Promise<CellState | undefined> => {
    while (!signal.aborted) {
        const state = await readOnce(store, cell, key => log.write("entry-unreadable", { cell, key }));
        if (state.isOk()) {
            return state.value;
        }
        log.write("state-read-failed", { cell, failure: state.error });
        await sleep(RetryDelayMs, signal);
    }
    return undefined;
};
