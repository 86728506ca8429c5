import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { Outcome } from "../src/outcome.js";
import { resultCodeTable } from "../src/result-code-table.js";
import { ResultCode } from "../src/result-code.js";

// Guards against a code without a row, which would throw while a failure is being reported.
t.test("every code has a row", t => {
    t.strictSame([...resultCodeTable.keys()].sort(), Object.values(ResultCode).sort());
    t.end();
});

// Guards against a code that claims "not run" outside the 2xxx range, or the reverse.
t.test("the thousands digit matches the outcome", t => {
    const outcomes = [
        undefined,
        Outcome.Answered,
        Outcome.NotRun,
        Outcome.MayHaveRun,
        Outcome.Cancelled,
        undefined,
    ];
    for (const info of resultCodeTable.values()) {
        t.equal(info.outcome, outcomes[Math.floor(info.code / 1000)], info.name);
    }
    t.end();
});

// Guards against documentation that differs from the code.
t.test("docs/codes.md lists every code with its status, exit code and meaning", t => {
    const page = readFileSync(join(process.cwd(), "docs", "codes.md"), "utf8");
    for (const info of resultCodeTable.values()) {
        const outcome = info.outcome ?? "operator";
        const row = `| ${info.code} | ${info.name} | ${outcome} | ${info.httpStatus} | ${info.exitCode} | ${info.meaning} |`;
        t.ok(page.includes(row), row);
    }
    t.end();
});
