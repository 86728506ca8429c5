import t from "tap";
import { CellCountProposal } from "../src/cell-count-proposal.js";

const StepMs = 300;

/** Returns the number of cells for counts of workers that are read at intervals of 300 ms, and the time it took. */
const propose = (
    counts: readonly number[],
): { readonly cells: number | undefined; readonly afterMs: number } => {
    const proposal = CellCountProposal.create();
    let afterMs = 0;
    for (const count of counts) {
        const cells = proposal.update(count, afterMs);
        if (cells !== undefined) {
            return { cells, afterMs };
        }
        afterMs += StepMs;
    }
    return { cells: undefined, afterMs };
};

const repeated = (count: number, times: number): number[] => Array.from({ length: times }, () => count);

// Guards against a fleet that is governed by a single owner because its workers had not registered when the system
// started: VMs and workers start at the same time, and the number of cells never changes afterwards.
t.test(
    "the number of cells is derived from the registered fleet, not from the one that is still registering",
    t => {
        const large = 2_000;
        const cases: { name: string; counts: number[]; cells: number | undefined }[] = [
            { name: "no worker yet", counts: repeated(0, 30), cells: undefined },
            { name: "no worker at all", counts: repeated(0, 100), cells: 1 },
            {
                name: "workers register after the start",
                counts: [0, 0, 300, 900, ...repeated(large, 10)],
                cells: 5,
            },
            { name: "all are there at once", counts: repeated(large, 10), cells: 5 },
            { name: "a small fleet", counts: repeated(33, 10), cells: 1 },
            {
                name: "the count never settles",
                counts: Array.from({ length: 40 }, (_, index) => 1_000 + index * 100),
                cells: 8,
            },
        ];
        for (const { name, counts, cells } of cases) {
            t.equal(propose(counts).cells, cells, name);
        }
        t.end();
    },
);

/** Counts of a fleet that registers evenly within a time, from the first worker until 10 s later. */
const registeringEvenly = (fleetSize: number, withinMs: number): number[] =>
    Array.from({ length: 10_000 / StepMs }, (_, index) =>
        Math.min(fleetSize, 1 + Math.floor((fleetSize * index * StepMs) / withinMs)),
    );

// Guards against first jobs that are refused because a small fleet, whose size cannot change the number of cells, is
// still registering: workers start within several seconds of each other, and the first jobs arrive soon after them.
t.test("the number of cells of a small fleet is derived while its workers are still registering", t => {
    const { cells, afterMs } = propose(registeringEvenly(45, 3_600));
    t.equal(cells, 1);
    t.ok(afterMs <= 2_100, `derived after ${afterMs} ms`);
    t.end();
});

// Guards against a number that is derived too early: it depends on the workers that have yet to register.
t.test("the number of cells counts the workers that register later, whatever the fleet's size", t => {
    for (const withinMs of [600, 1_500, 3_000, 4_500]) {
        for (let fleetSize = 100; fleetSize <= 4_000; fleetSize += 100) {
            const expected = Math.max(1, Math.round(fleetSize / 400));
            const { cells, afterMs } = propose(registeringEvenly(fleetSize, withinMs));
            t.equal(cells, expected, `${fleetSize} workers within ${withinMs} ms, after ${afterMs} ms`);
        }
    }
    t.end();
});

// Guards against a number that takes the pace of the first workers for that of the fleet.
t.test("the number of cells counts a fleet that registers faster after a slow start", t => {
    const slowStart = [10, 20, 30, 45, 60, 100, 200, 500, 1_000, 1_400, 1_600, ...repeated(1_600, 10)];
    t.equal(propose(slowStart).cells, 4);
    t.end();
});
