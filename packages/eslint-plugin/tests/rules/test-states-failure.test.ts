import t from "tap";
import { testStatesFailure } from "../../src/rules/test-states-failure.js";
import { runRule } from "../run-rule.js";

// Guards against a test without a stated failure that is not reported, and reports on subtests and RegExp.test calls.
t.test("test-states-failure", t => {
    runRule("test-states-failure", testStatesFailure, {
        valid: [
            { code: `// Guards against a lost write.\nt.test("a", t => {});` },
            { code: `t.test("a", t => {\n    // Guards against a lost write.\n    t.ok(true);\n});` },
            { code: `// Guards against a lost write.\nfor (const a of b) { t.test(a, t => {}); }` },
            { code: `// Guards against a lost write.\nt.test("a", t => { t.test("b", t => {}); });` },
            { code: `const found = /a/.test("a");` },
            {
                code: `// Protects from a lost write.\nt.test("a", () => {});`,
                options: [{ pattern: "protects from" }],
            },
        ],
        invalid: [
            { code: `t.test("a", t => {});`, errors: ["missing"] },
            { code: `// Writes twice.\nt.test("a", t => {});`, errors: ["missing"] },
            { code: `test("a", function () {});`, errors: ["missing"] },
            {
                code: `// Guards against a lost write.\nt.test("a", t => {});\nt.test("b", t => {});`,
                errors: ["missing"],
            },
            { code: `for (const a of b) { t.test(a, t => {}); }`, errors: ["missing"] },
        ],
    });
    t.end();
});
