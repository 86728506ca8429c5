import t from "tap";
import { claimDelayMs } from "../src/claim-delay-ms.js";
import { rankOfCell } from "../src/rank-of-cell.js";

const near = { roundTripMs: 4, processors: 1.35, otherCells: 0, rank: 0 };

// Guards against all cells of a large fleet with one owner: the process with the shortest way to the store claimed each.
t.test("a process claims its first cell before another one claims its second", t => {
    const ownDelayMs = claimDelayMs({ ...near, otherCells: 1 });
    const cases: { name: string; factors: Parameters<typeof claimDelayMs>[0] }[] = [
        { name: "an equal process", factors: { ...near, rank: 1 } },
        {
            name: "a process in another data centre of the region",
            factors: { ...near, roundTripMs: 7, rank: 1 },
        },
        { name: "a process on a small VM", factors: { ...near, processors: 0.3, rank: 1 } },
    ];
    for (const { name, factors } of cases) {
        t.ok(claimDelayMs(factors) < ownDelayMs, name);
    }
    t.end();
});

// Guards against equal processes that all claim the same cell first and leave the others to the one that was fastest.
t.test("processes rank the cells differently", t => {
    const cells = [0, 1, 2, 3];
    const first = new Set<number | undefined>();
    for (let node = 0; node < 40; node++) {
        const ranks = cells.map(cell => rankOfCell(cell, cells.length, `node-${node}`));
        t.same([...ranks].sort(), [0, 1 / 3, 2 / 3, 1], "each rank occurs once");
        first.add(ranks.indexOf(0));
    }
    t.equal(first.size, cells.length, "each cell is somebody's first");
    t.equal(rankOfCell(0, 1, "node"), 0, "a single cell");
    t.end();
});
