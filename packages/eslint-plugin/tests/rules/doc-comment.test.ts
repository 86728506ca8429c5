import t from "tap";
import { docComment } from "../../src/rules/doc-comment.js";
import { runRule } from "../run-rule.js";

// Guards against an export without a doc comment that is not reported, for each kind of export.
t.test("doc-comment", t => {
    runRule("doc-comment", docComment, {
        valid: [
            { code: `export {};` },
            { code: `const a = 1;` },
            { code: `/** Number of retries. */\nexport const a = 1;` },
            { code: `/** Kinds of work. */\nexport const Kind = 1;\nexport type Kind = typeof Kind;` },
            { code: `/** A worker's name. */\nconst a = 1;\nexport { a };` },
            { code: `export * from "./a.js";` },
            { code: `/** Ok. */\nexport const a = 1;`, options: [{ minLength: 2 }] },
        ],
        invalid: [
            { code: `export const a = 1;`, errors: ["missing"] },
            { code: `// Number of retries.\nexport const a = 1;`, errors: ["missing"] },
            { code: `/* Number of retries. */\nexport class A {}`, errors: ["missing"] },
            { code: `export default function f() {}`, errors: ["missing"] },
            { code: `export interface A {}\n/** Another shape. */\nexport type B = 1;`, errors: ["missing"] },
            { code: `/** Ok. */\nexport const a = 1;`, errors: ["short"] },
        ],
    });
    t.end();
});
