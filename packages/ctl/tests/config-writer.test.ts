import fc from "fast-check";
import t from "tap";
import { AdminClient } from "../src/admin-client.js";
import { ConfigWriter } from "../src/config-writer.js";
import { withFakeServer } from "./with-fake-server.js";

const faults = ["none", "apply-and-destroy", "destroy", "store-unavailable", "other-change"] as const;

// Guards against a change that is applied twice or whose reported outcome is wrong.
t.test("the reported outcome of a change is correct under any sequence of faults", async t => {
    const property = fc.asyncProperty(
        fc.array(fc.constantFrom(...faults), { maxLength: 6 }),
        fc.nat({ max: 8 }),
        async (sequence, staleReads) => {
            await withFakeServer(async server => {
                server.applyOtherChange();
                server.writeFaults.push(...sequence);
                server.staleReads = staleReads;
                const client = AdminClient.create([server.address], { token: undefined, timeoutMs: 5_000 });
                const change = {
                    expectedRevision: 1,
                    changeId: "own",
                    author: "first",
                    routes: "r",
                    pools: "p",
                };
                const result = await ConfigWriter.create(client, change, 1).write();
                const applied = server.changes.filter(({ changeId }) => changeId === "own");
                const reported = result.isOk() ? result.value.kind : Math.floor(result.error.code / 1000);
                t.ok(applied.length <= 1, "applied at most once");
                if (reported === "applied") {
                    t.match(result.unwrap(), { revision: applied[0]?.revision ?? -1 });
                } else if (reported !== 3) {
                    t.equal(applied.length, 0, `reported ${reported}`);
                }
            });
        },
    );
    await fc.assert(property, { seed: 20_261_204, numRuns: 150 });
});
