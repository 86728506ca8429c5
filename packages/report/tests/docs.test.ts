import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { burnRateRules } from "../src/burn-rate-rules.js";
import { reportOptions } from "../src/report-options.js";

// Guards against an option or threshold that is missing from docs/operations/reading-the-report.md.
t.test("docs/operations/reading-the-report.md lists every option and rule", t => {
    const page = readFileSync(join(process.cwd(), "docs/operations/reading-the-report.md"), "utf8");
    for (const name of Object.keys(reportOptions)) {
        t.ok(page.includes(`| \`--${name}`), name);
    }
    for (const { name, threshold } of burnRateRules) {
        t.ok(page.includes(`| ${name} | ${threshold} |`), name);
    }
    t.end();
});
