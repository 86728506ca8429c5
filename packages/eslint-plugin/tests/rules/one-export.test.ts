import t from "tap";
import { oneExport } from "../../src/rules/one-export.js";
import { runRule } from "../run-rule.js";

// Guards against a second export that is not reported, and against a report on a constant and its type.
t.test("one-export", t => {
    runRule("one-export", oneExport, {
        valid: [
            { code: `export {};` },
            { code: `const a = 1; export const b = a;` },
            {
                code: `export const Kind = { A: "a" } as const; export type Kind = (typeof Kind)[keyof typeof Kind];`,
            },
            { code: `export function f(a: string): void; export function f(a: unknown): void {}` },
            { code: `export const a = 1; export const b = 2;`, options: [{ allow: ["b"] }] },
        ],
        invalid: [
            { code: `export const a = 1; export const b = 2;`, errors: ["secondExport"] },
            { code: `export const a = 1, b = 2;`, errors: ["secondExport"] },
            {
                code: `export class A {} export interface B {} export type C = 1;`,
                errors: ["secondExport", "secondExport"],
            },
            { code: `const a = 1; const b = 2; export { a, b as c };`, errors: ["secondExport"] },
            { code: `export const a = 1; export * from "./b.js";`, errors: ["secondExport"] },
            { code: `export const a = 1; export default a;`, errors: ["secondExport"] },
        ],
    });
    t.end();
});
