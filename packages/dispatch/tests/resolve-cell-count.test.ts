import { ManualClock } from "@samphireward/core/manual-clock";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import t from "tap";
import { cellKeys } from "../src/cell-keys.js";
import { resolveCellCount } from "../src/resolve-cell-count.js";
import type { StoreChanges } from "../src/store-changes.js";
import type { StoreFailure } from "../src/store-failure.js";
import type { StoredItem } from "../src/stored-item.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";

const ReadMs = 1_000;
/** Turns of the event loop within which a process takes notice of what the store has answered. */
const Turns = 50;

/** A store that answers a watch when the test stores the value. */
class WatchedStore extends ManualStore {
    private readonly watches: ((result: Result<StoreChanges, StoreFailure>) => void)[] = [];

    static override create(): WatchedStore {
        return new WatchedStore();
    }

    put(item: StoredItem): void {
        this.items = [item];
        const { revision } = item;
        const changes = [item];
        this.watches.forEach(answer => answer(Ok({ changes, revision, transferMs: 0 })));
    }

    override watch(): Promise<Result<StoreChanges, StoreFailure>> {
        return new Promise(resolve => this.watches.push(resolve));
    }
}

/** Registrations that become more with each read, until all are there. */
class GrowingFleet {
    private readonly known: WorkerEntry[] = [];
    private reads = 0;

    private constructor(
        private readonly clock: ManualClock,
        private readonly counts: readonly number[],
    ) {}

    static create(clock: ManualClock, counts: readonly number[]): GrowingFleet {
        return new GrowingFleet(clock, counts);
    }

    get entries(): Iterable<WorkerEntry> {
        return this.known;
    }

    refresh(): Promise<boolean> {
        this.clock.advance(ReadMs);
        const count = this.counts[Math.min(this.reads++, this.counts.length - 1)] ?? 0;
        while (this.known.length < count) {
            this.known.push({ ...oneWorker, id: `w${this.known.length}` });
        }
        return Promise.resolve(true);
    }
}

// Guards against a layout that is stored before the first worker has registered, which gave 342 workers one owner.
t.test("the stored number of cells counts the workers that register after the start", async t => {
    const clock = ManualClock.create();
    const store = ManualStore.create();
    const resolved = resolveCellCount(
        {
            store,
            workers: GrowingFleet.create(clock, [0, 0, 600, 1_200]),
            clock,
            log: NullLog.create(),
            roundTripMs: () => 1,
        },
        new AbortController().signal,
    );
    while (store.transactions.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const [write] = store.transactions[0]?.writes ?? [];
    t.same(write, { key: cellKeys.layout, value: JSON.stringify({ cells: 3 }) });
    store.items = [{ key: cellKeys.layout, value: write?.value ?? "", revision: 2 }];
    await store.answerNext();
    t.equal(await resolved, 3);
});

// Guards against a first owner on a small VM that happened to look at the store just after the number was stored, while
// the large ones looked there up to a second later; a small owner could not keep its lease under the first jobs.
t.test(
    "a process that waits for its next count learns the number when another process stores it",
    async t => {
        const clock = ManualClock.create();
        const store = WatchedStore.create();
        const abort = new AbortController();
        const resolved = resolveCellCount(
            {
                store,
                workers: GrowingFleet.create(clock, [600]),
                clock,
                log: NullLog.create(),
                roundTripMs: () => 1_000,
            },
            abort.signal,
        );
        const turns = async (): Promise<void> => {
            for (let turn = 0; turn < Turns; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        await turns();
        store.put({ key: cellKeys.layout, value: JSON.stringify({ cells: 3 }), revision: 2 });
        await turns();
        abort.abort();
        t.equal(await resolved, 3);
    },
);
