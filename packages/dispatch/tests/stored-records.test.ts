import { JobState } from "@samphireward/jobs/job-state";
import t from "tap";
import { EventLog } from "../src/event-log.js";
import { jobCodec } from "../src/job-codec.js";
import { readCellState } from "../src/read-cell-state.js";
import { storedRecords } from "../src/stored-records.js";
import { ManualStore } from "./manual-store.js";
import { oneTaskJob } from "./one-task-job.js";

const malformed = ["", "{", "null", "7", "[]", "{}", '"text"'];

const owner = { node: "n1", life: "l1", address: "10.0.0.1:80", epoch: 3 };
const effects = { headrooms: { desk: 2.5 }, pairs: { desk: [["filler", 0.4, 0.01]] } };
const progress = {
    endState: JobState.Completed,
    endedAtMs: 0,
    hasStarted: true,
    nextOccurrence: 1,
    open: [],
};

type Row = [name: string, read: (text: string) => unknown, valid: unknown, invalid: readonly unknown[]];
const table: Row[] = [
    [
        "owner",
        storedRecords.decodeOwner,
        owner,
        [
            { ...owner, epoch: "3" },
            { ...owner, address: undefined },
        ],
    ],
    ["log", storedRecords.decodeLog, { epoch: 2, sequence: 9 }, [{ epoch: -1, sequence: 9 }, { epoch: 2 }]],
    [
        "effects",
        storedRecords.decodeEffects,
        effects,
        [
            { ...effects, headrooms: { desk: "x" } },
            { ...effects, pairs: { desk: [[["filler"]]] } },
            { ...effects, pairs: { desk: "x" } },
        ],
    ],
];

// Guards against a malformed entry, or one of another program, that stops an owner or every process.
t.test("invalid entries of the store decode to undefined", t => {
    for (const [name, read, valid, invalid] of table) {
        t.same(read(JSON.stringify(valid)), valid, name);
        for (const text of [...malformed, ...invalid.map(value => JSON.stringify(value))]) {
            t.equal(read(text), undefined, `${name}: ${text}`);
        }
    }
    t.equal(storedRecords.decodeCells('{"cells":4}'), 4);
    for (const text of [...malformed, '{"cells":0}', '{"cells":1.5}']) {
        t.equal(storedRecords.decodeCells(text), undefined, `layout: ${text}`);
    }
    t.end();
});

// Guards against a job whose entry lacks a field and prevents all jobs from being read.
t.test("invalid jobs and progress decode to undefined", t => {
    const job = jobCodec.decodeJob(jobCodec.encodeJob(oneTaskJob));
    t.equal(job && jobCodec.encodeJob(job), jobCodec.encodeJob(oneTaskJob));
    t.same(jobCodec.decodeProgress(jobCodec.encodeProgress(progress)), progress);
    const invalid = [
        ...malformed,
        '{"v":1}',
        '{"v":2,"spec":{},"progress":{}}',
        '{"v":1,"spec":{"steps":[]},"progress":{"open":[null]}}',
        '{"v":1,"spec":{"id":"a","queue":"q","arrivedAtMs":1,"steps":[{}]},"progress":{"open":[]}}',
    ];
    for (const text of invalid) {
        t.equal(jobCodec.decodeJob(text), undefined, `job: ${text}`);
        t.equal(jobCodec.decodeProgress(text), undefined, `progress: ${text}`);
    }
    t.end();
});

// Guards against a malformed entry that an engineer cannot find: the owner skips it, or waits because of it.
t.test("every invalid entry of a cell is logged with its key", async t => {
    const logged: unknown[] = [];
    class RecordingLog extends EventLog {
        override write(event: string, fields: object): void {
            logged.push([event, fields]);
        }
    }
    const store = ManualStore.create();
    const keys = ["cells/0/effects", "cells/0/in/job/a", "cells/0/progress/a", "cells/0/roster"];
    store.items = keys.map(key => ({ key, value: "{", revision: 1 }));
    const state = await readCellState(store, 0, new RecordingLog(), new AbortController().signal);
    t.strictSame(
        logged.map(line => JSON.stringify(line)).sort(),
        keys.map(key => JSON.stringify(["entry-unreadable", { cell: 0, key }])),
    );
    t.strictSame(state?.jobs, []);
});
