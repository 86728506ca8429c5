import t from "tap";
import { runInBackground } from "../src/run-in-background.js";

// Guards against a rejection of an operation that nobody awaits, which ends the process or is lost.
t.test("a rejection is logged with the operation's name", async t => {
    const lines: unknown[] = [];
    const log = { error: (message: string, fields: object) => lines.push({ message, ...fields }) };
    runInBackground("good", Promise.resolve(1), log);
    runInBackground("error", Promise.reject(new TypeError("reason")), log);
    // eslint-disable-next-line @typescript-eslint/prefer-promise-reject-errors -- libraries reject with other values
    runInBackground("text", Promise.reject("text"), log);
    await new Promise(resolve => setImmediate(resolve));
    t.match(lines, [
        { message: "background operation failed", operation: "error", error: /TypeError: reason\n +at / },
        { message: "background operation failed", operation: "text", error: "text" },
    ]);
    t.equal(lines.length, 2);
});
