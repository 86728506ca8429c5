import { readFileSync } from "node:fs";
import { join } from "node:path";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Tables } from "@samphireward/core/tables";
import { ShareRegistry } from "@samphireward/routing/share-registry";
import t from "tap";
import { Readiness } from "../src/readiness.js";

const readExample = (name: string): string =>
    readFileSync(join(process.cwd(), "examples", "kloverknap", name), "utf8");

const tables = Tables.create(readExample("routes.toml"), readExample("pools.toml")).unwrap();
const cells = tables.allCells().map(String);

// Guards against a started process that reports ready with one slot, so that its whole part of the callers waits
// for that slot.
t.test("a started process is ready once it holds half of the slots planned for it", t => {
    const shares = ShareRegistry.create(ManualClock.create());
    const readiness = Readiness.create(shares);
    let sequence = 0;
    const grantSlots = (slots: number): void => {
        sequence += 1;
        for (const cell of cells) {
            const { report } = shares.openStream(cell, 1);
            const share = { serviceAddress: "127.0.0.1:1", connections: 64, epoch: 1, expiresInMs: 6_000 };
            const granted = slots === 0 ? [] : [{ worker: `${cell}-w0`, slots, ...share }];
            shares.apply({ cell, epoch: 1, sequence, report, plannedSlots: 8, shares: granted });
        }
    };
    const steps: [string, number, boolean][] = [
        ["nothing is held", 0, false],
        ["one of eight slots is held", 1, false],
        ["half is held", 4, true],
        ["a later loss of slots", 1, true],
        ["the loss of all slots", 0, false],
    ];
    for (const [label, slots, isReady] of steps) {
        grantSlots(slots);
        t.equal(readiness.isReady(tables), isReady, label);
    }
    t.equal(readiness.isReady(undefined), false, "without tables");
    t.end();
});
