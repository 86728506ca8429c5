import t from "tap";
import { rosterCodec } from "../src/roster-codec.js";

// Guards against an owner that trusts a malformed entry, or stops because of it, and starts tasks a second time that
// still run on workers it does not know.
t.test("a roster that cannot be decoded makes the next owner wait for the longest lease", t => {
    const unreadable = { lives: ["unknown/0"], leaseMs: undefined };
    const table: [name: string, text: string | undefined, roster: unknown][] = [
        ["no entry", undefined, { lives: [], leaseMs: undefined }],
        ["complete", '{"lives":["w1/1"],"leaseMs":4500}', { lives: ["w1/1"], leaseMs: 4_500 }],
        ["no lease", '{"lives":["w1/1"]}', { lives: ["w1/1"], leaseMs: undefined }],
        ["negative lease", '{"lives":[],"leaseMs":-1}', { lives: [], leaseMs: undefined }],
        ["not JSON", '{"lives":', unreadable],
        ["another type", "7", unreadable],
        ["null", "null", unreadable],
        ["lives of another type", '{"lives":[7],"leaseMs":4500}', unreadable],
    ];
    for (const [name, text, roster] of table) {
        t.same(rosterCodec.decode(text), roster, name);
    }
    const roster = { lives: ["w1/1", "w2/5"], leaseMs: 4_500 };
    t.same(rosterCodec.decode(rosterCodec.encode(roster)), roster);
    t.end();
});
