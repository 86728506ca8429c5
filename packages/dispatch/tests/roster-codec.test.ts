import t from "tap";
import { rosterCodec } from "../src/roster-codec.js";

// Guards against an owner that trusts a malformed entry, or stops because of it, and starts tasks a second time that
// still run on workers it does not know.
t.test("a roster that cannot be decoded makes the next owner wait for the longest lease", t => {
    const none = { lives: [], leaseMs: undefined, leasesMs: undefined, epoch: undefined };
    const unreadable = { ...none, lives: ["unknown/0"] };
    const lives = ["w1/1"];
    const table: [name: string, text: string, roster: unknown][] = [
        [
            "complete",
            '{"lives":["w1/1"],"leaseMs":4500,"epoch":3,"leasesMs":{"w1/1":9000}}',
            { lives, leaseMs: 4_500, epoch: 3, leasesMs: new Map([["w1/1", 9_000]]) },
        ],
        ["of an older build", '{"lives":["w1/1"],"leaseMs":4500}', { ...none, lives, leaseMs: 4_500 }],
        ["no lease", '{"lives":["w1/1"]}', { ...none, lives }],
        ["negative lease", '{"lives":[],"leaseMs":-1}', none],
        ["negative remaining lease", '{"lives":["w1/1"],"leasesMs":{"w1/1":-1}}', { ...none, lives }],
        ["remaining leases of another type", '{"lives":["w1/1"],"leasesMs":7}', { ...none, lives }],
        ["not JSON", '{"lives":', unreadable],
        ["another type", "7", unreadable],
        ["null", "null", unreadable],
        ["lives of another type", '{"lives":[7],"leaseMs":4500}', unreadable],
    ];
    for (const [name, text, roster] of table) {
        t.strictSame(rosterCodec.decode(text), roster, name);
    }
    const roster = {
        lives: ["w1/1", "w2/5"],
        leaseMs: 4_500,
        leasesMs: new Map([["w2/5", 9_000]]),
        epoch: 2,
    };
    t.strictSame(rosterCodec.decode(rosterCodec.encode(roster)), roster);
    t.end();
});
