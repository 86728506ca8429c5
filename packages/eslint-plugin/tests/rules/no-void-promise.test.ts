import t from "tap";
import { noVoidPromise } from "../../src/rules/no-void-promise.js";
import { runTypedRule } from "../run-typed-rule.js";

const declarations = `declare const run: () => Promise<void>; declare const each: (f: () => void) => void;`;

// Guards against a promise without a handler that is not reported, and against a report on a value that is no promise.
t.test("no-void-promise", t => {
    runTypedRule("no-void-promise", noVoidPromise, {
        valid: [
            { code: `${declarations} run().catch(() => undefined);` },
            { code: `${declarations} await run();` },
            { code: `declare const state: { count: number }; void state;` },
            { code: `declare const list: number[]; list.forEach(item => void list.push(item));` },
            { code: `const f = (): void => undefined;` },
        ],
        invalid: [
            { code: `${declarations} void run();`, errors: ["unhandled"] },
            { code: `${declarations} each(() => void run());`, errors: ["unhandled"] },
            { code: `${declarations} void run().then(() => 1);`, errors: ["unhandled"] },
            { code: `${declarations} void run().finally(() => 1);`, errors: ["unhandled"] },
            { code: `declare const maybe: Promise<void> | undefined; void maybe;`, errors: ["unhandled"] },
            { code: `declare const like: PromiseLike<void>; void like;`, errors: ["unhandled"] },
        ],
    });
    t.end();
});
