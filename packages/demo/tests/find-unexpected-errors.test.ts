import t from "tap";
import { findUnexpectedErrors } from "../src/find-unexpected-errors.js";

// Guards against an unexpected error that ends no process and is missing from the violations of a run.
t.test("unexpected errors are found in the logs", t => {
    const error = `{"level":"ERROR","message":"unhandled rejection","error":"TypeError"}`;
    const dir = t.testdir({
        "entry-vm-0.log": `{"level":"INFO","message":"peer port is open"}\n${error}\nno JSON\nnull\n`,
        "scheduler-vm-0.log": `{"level":"ERROR","message":"loop failed","loop":"unhandled rejection"}\n`,
        "entry-vm-0.toml": `${error}\n`,
        "store.log": "",
    });
    t.strictSame(findUnexpectedErrors(dir), [
        `entry-vm-0.log: ${error}`,
        `scheduler-vm-0.log: {"level":"ERROR","message":"loop failed","loop":"unhandled rejection"}`,
    ]);
    t.end();
});
