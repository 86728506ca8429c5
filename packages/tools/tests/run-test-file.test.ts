import { fileURLToPath } from "node:url";
import t from "tap";
import { runTestFile } from "../src/run-test-file.js";

const file = fileURLToPath(new URL("./fixtures/fail-and-end.js", import.meta.url));
const root = process.cwd();

// Guards against a crash that nobody sees, because a known failure of the same file comes before it.
t.test("a process that ends before its last test is reported beside a failed test", async t => {
    for (const ending of ["signal", "exit", "abort", "none"]) {
        process.env["TEST_ENDING"] = ending;
        const outcomes = await runTestFile(root, file);
        const failed = outcomes.filter(({ passed }) => !passed).map(({ test }) => test.replace(/^.* > /, ""));
        t.ok(failed.includes("fails"), ending);
        t.equal(failed.includes("exit"), ending !== "none", `${ending}: ${failed.join(", ")}`);
    }
});
