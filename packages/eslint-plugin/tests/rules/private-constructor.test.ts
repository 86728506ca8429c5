import t from "tap";
import { privateConstructor } from "../../src/rules/private-constructor.js";
import { runRule } from "../run-rule.js";

const withCreate = `static create() { return new A(); }`;

// Guards against a class with a public constructor that is not reported: callers could bypass its create method.
t.test("private-constructor", t => {
    runRule("private-constructor", privateConstructor, {
        valid: [
            { code: `class A { private constructor() {} ${withCreate} }` },
            { code: `class A { protected constructor() {} ${withCreate} }` },
            { code: `class A { static create = () => new A(); }` },
            { code: `class A extends B { ${withCreate} }` },
            { code: `abstract class A { constructor(readonly b: number) {} }` },
            { code: `class FakeStore { constructor() {} }` },
            { code: `class A extends Schema.Class("A")({}) {}` },
            { code: `class Dummy {}`, options: [{ fakePattern: "^Dummy$" }] },
        ],
        invalid: [
            { code: `class A {}`, errors: ["missingCreate"] },
            { code: `class A { constructor(readonly b: number) {} }`, errors: ["missingCreate"] },
            { code: `class A { create() { return new A(); } }`, errors: ["missingCreate"] },
            { code: `class A { constructor() {} ${withCreate} }`, errors: ["publicConstructor"] },
            { code: `class A { public constructor() {} ${withCreate} }`, errors: ["publicConstructor"] },
            { code: `const a = class { constructor() {} };`, errors: ["missingCreate"] },
            { code: `class FakeStore {}`, options: [{ fakePattern: "^Dummy$" }], errors: ["missingCreate"] },
        ],
    });
    t.end();
});
