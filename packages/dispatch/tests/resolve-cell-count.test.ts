import { ManualClock } from "@samphireward/core/manual-clock";
import type { WorkerEntry } from "@samphireward/jobs/worker-entry";
import t from "tap";
import { cellKeys } from "../src/cell-keys.js";
import { resolveCellCount } from "../src/resolve-cell-count.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneWorker } from "./one-worker.js";

const ReadMs = 1_000;

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
