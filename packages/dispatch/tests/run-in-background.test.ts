import t from "tap";
import { runInBackground } from "../src/run-in-background.js";
import { RecordingLog } from "./recording-log.js";

// Guards against a rejection of an operation that nobody awaits, which is lost or reported without its operation.
t.test("a rejection is logged and reported with the operation's name", async t => {
    const log = RecordingLog.create();
    const reasons: string[] = [];
    runInBackground("good", Promise.resolve(1), log, reason => reasons.push(reason));
    runInBackground("inputs", Promise.reject(new TypeError("unexpected")), log, reason =>
        reasons.push(reason),
    );
    await new Promise(resolve => setImmediate(resolve));
    t.match(log.lines, [
        { event: "background-failed", operation: "inputs", reason: /TypeError: unexpected\n +at / },
    ]);
    t.equal(log.lines.length, 1);
    t.strictSame(reasons, ["inputs failed unexpectedly"]);
});
