import t from "tap";
import { parseKnownFailures } from "../src/parse-known-failures.js";

// Guards against a known failure that is reported as unexpected because comments or white space hide its entry.
t.test("reads one entry for each line and skips comments", t => {
    const entries = parseKnownFailures("# comment\n\n a.test.ts > x | npm test, seed 1 | seen | issue 4\n");
    t.strictSame(
        entries.map(entry => entry.test),
        ["a.test.ts > x"],
    );
    t.end();
});
