import type { JobProgress } from "@samphireward/jobs/job-progress";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { cellKeys } from "./cell-keys.js";
import type { CellState } from "./cell-state.js";
import type { EventLog } from "./event-log.js";
import { findStoredJobProblem } from "./find-stored-job-problem.js";
import { itemsUnderPrefix } from "./items-under-prefix.js";
import { jobCodec } from "./job-codec.js";
import type { MetadataStore } from "./metadata-store.js";
import { readPrefix } from "./read-prefix.js";
import { rosterCodec } from "./roster-codec.js";
import type { Roster } from "./roster.js";
import { SetAsideReason } from "./set-aside-reason.js";
import { sleep } from "./sleep.js";
import type { StoredItem } from "./stored-item.js";
import type { StoredJobProblem } from "./stored-job-problem.js";
import type { StoreFailure } from "./store-failure.js";
import { storedRecords } from "./stored-records.js";

const RetryDelayMs = 100;

/** Called with the key of each entry that cannot be decoded. */
type OnUnreadable = (key: string) => void;

const unreadableJob = (detail: string): StoredJobProblem => ({ reason: SetAsideReason.Unreadable, detail });

/**
 * Decodes the jobs and their progress. A job whose progress cannot be decoded is set aside as well: its tasks that are
 * done would run again.
 */
const decodeJobs = (
    cell: number,
    inputItems: readonly StoredItem[],
    progressItems: readonly StoredItem[],
    onUnreadable: OnUnreadable,
): Pick<CellState, "jobs" | "setAside" | "tombstones"> => {
    const progressById = new Map<string, JobProgress | undefined>();
    for (const { id, key, value } of itemsUnderPrefix(progressItems, cellKeys.progressPrefix(cell))) {
        const progress = jobCodec.decodeProgress(value);
        progressById.set(id, progress);
        if (progress === undefined) {
            onUnreadable(key);
        }
    }
    const jobs: CellState["jobs"][number][] = [];
    const setAside = new Map<string, StoredJobProblem>();
    const tombstones: CellState["tombstones"][number][] = [];
    for (const { id, key, value, revision } of itemsUnderPrefix(inputItems, cellKeys.job(cell, ""))) {
        const tombstone = jobCodec.decodeTombstone(value);
        if (tombstone !== undefined) {
            tombstones.push({ key, revision, ...tombstone });
            continue;
        }
        const spec = jobCodec.decodeJob(value);
        const progress = progressById.get(id);
        if (spec?.id !== id) {
            onUnreadable(key);
            setAside.set(id, unreadableJob("the job"));
        } else if (progress === undefined && progressById.has(id)) {
            setAside.set(id, unreadableJob("the progress"));
        } else {
            const problem = findStoredJobProblem(spec, progress);
            if (problem === undefined) {
                jobs.push({ spec, progress });
            } else {
                setAside.set(id, problem);
            }
        }
    }
    return { jobs, setAside, tombstones };
};

const decodeEffects = (item: StoredItem | undefined, onUnreadable: OnUnreadable): CellState["effects"] => {
    const effects = item === undefined ? undefined : storedRecords.decodeEffects(item.value);
    if (item !== undefined && effects === undefined) {
        onUnreadable(item.key);
    }
    return effects;
};

const decodeRoster = (item: StoredItem | undefined, onUnreadable: OnUnreadable): Roster | undefined => {
    if (item === undefined) {
        return undefined;
    }
    const roster = rosterCodec.decode(item.value);
    if (roster === rosterCodec.unreadable) {
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
    const { items, revision } = input.value;
    return Ok({
        ...decodeJobs(cell, items, progress.value.items, onUnreadable),
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
