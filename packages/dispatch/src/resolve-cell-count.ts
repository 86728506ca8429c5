import type { Clock } from "@samphireward/core/clock";
import { CellCountProposal } from "./cell-count-proposal.js";
import { cellKeys } from "./cell-keys.js";
import type { EventLog } from "./event-log.js";
import type { MetadataStore } from "./metadata-store.js";
import { runInBackground } from "./run-in-background.js";
import { sleep } from "./sleep.js";
import { storedRecords } from "./stored-records.js";
import { ValueWatcher } from "./value-watcher.js";
import type { WorkerPoller } from "./worker-poller.js";

const RetryDelayMs = 150;
/** Time between two counts of the workers. */
const CountIntervalMs = 450;
/** The same as a multiple of the round trip to the store: processes near it settle first and spare the others the reads. */
const CountRoundTrips = 25;

/** Dependencies provided by the dispatcher. */
interface LayoutContext {
    readonly store: MetadataStore;
    readonly workers: Pick<WorkerPoller, "refresh" | "entries">;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly roundTripMs: () => number;
}

/** Stores a number of cells once the fleet has registered. Returns the time until the next attempt, in milliseconds. */
const propose = async (context: LayoutContext, proposal: CellCountProposal): Promise<number> => {
    const { store, workers, clock, log, roundTripMs } = context;
    if (!(await workers.refresh())) {
        return RetryDelayMs;
    }
    const workerCount = [...workers.entries].length;
    const cells = proposal.update(workerCount, clock.nowMs());
    if (cells === undefined) {
        return Math.max(CountIntervalMs, CountRoundTrips * roundTripMs());
    }
    log.write("layout-proposed", { cells, workers: workerCount });
    const committed = await store.commit({
        expected: [{ key: cellKeys.layout, revision: 0 }],
        writes: [{ key: cellKeys.layout, value: JSON.stringify({ cells }) }],
    });
    return committed.isOk() ? CountIntervalMs : RetryDelayMs;
};

/** Counts the workers until the number of cells is stored. */
const proposeUntilStored = async (context: LayoutContext, signal: AbortSignal): Promise<void> => {
    const proposal = CellCountProposal.create();
    while (!signal.aborted) {
        const stored = await context.store.get(cellKeys.layout);
        const isAbsent = stored.isOk() && stored.value === undefined;
        await sleep(isAbsent ? await propose(context, proposal) : RetryDelayMs, signal);
    }
};

/**
 * Reads the number of cells from the store. At the first start of the system, derives it from the number of workers
 * and stores it. Undefined if the signal aborts.
 *
 * The number is watched, so that all processes learn it at the same time: the first cells then go to the processes that
 * claim them soonest, which are large and near the store, and not to those that happened to count last.
 */
export const resolveCellCount = async (
    context: LayoutContext,
    signal: AbortSignal,
): Promise<number | undefined> => {
    const { store, clock, log } = context;
    const found = new AbortController();
    let cells: number | undefined;
    const onValue = (value: string): void => {
        cells = storedRecords.decodeCells(value);
        if (cells === undefined) {
            // Another number would assign jobs to the wrong cells, so an operator has to repair the entry.
            log.write("entry-unreadable", { key: cellKeys.layout });
        } else {
            found.abort();
        }
    };
    const unresolved = AbortSignal.any([signal, found.signal]);
    runInBackground("layout", proposeUntilStored(context, unresolved), log);
    await ValueWatcher.create(store, cellKeys.layout, onValue, clock, log).run(unresolved);
    return cells;
};
