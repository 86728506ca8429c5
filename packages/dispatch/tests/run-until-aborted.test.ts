import t from "tap";
import { runUntilAborted } from "../src/run-until-aborted.js";
import { RecordingLog } from "./recording-log.js";

// Guards against a process that goes on without one of its loops, with a configuration or workers that never change.
t.test("a loop that fails is started again until its signal aborts", async t => {
    const abort = new AbortController();
    const log = RecordingLog.create();
    let runs = 0;
    const loop = (): Promise<void> => {
        runs++;
        if (runs === 2) {
            abort.abort();
        }
        return Promise.reject(new TypeError("unexpected"));
    };
    await runUntilAborted("workers", loop, abort.signal, log);
    t.equal(runs, 2);
    t.equal(log.lines.filter(line => line.event === "background-failed").length, 2);
});

// Guards against a loop that is started again although it has ended as it should.
t.test("a loop that ends is not started again", async t => {
    let runs = 0;
    const loop = (): Promise<void> => Promise.resolve(void runs++);
    await runUntilAborted("workers", loop, new AbortController().signal, RecordingLog.create());
    t.equal(runs, 1);
});
