import type { TSESLint } from "@typescript-eslint/utils";
import type { Rule } from "eslint";
import type { Linter } from "eslint";
import { RuleTester } from "eslint";
import tseslint from "typescript-eslint";

/** A code snippet and the message ids the rule is expected to report; valid code has none. */
interface RuleCase {
    readonly code: string;
    readonly options?: readonly unknown[];
    readonly errors?: readonly string[];
    readonly filename?: string;
}

/** Runs ESLint's RuleTester on a table of snippets, with the parser's options. Throws on the first mismatch. */
export const runRule = (
    name: string,
    rule: TSESLint.RuleModule<string, readonly unknown[]>,
    cases: { readonly valid: readonly RuleCase[]; readonly invalid: readonly RuleCase[] },
    parserOptions: Linter.ParserOptions = {},
): void => {
    const tester = new RuleTester({
        languageOptions: { parser: tseslint.parser, parserOptions },
    });
    const withOptions = ({ code, options, filename }: RuleCase): RuleTester.ValidTestCase => ({
        code,
        options: [...(options ?? [])],
        ...(filename === undefined ? {} : { filename }),
    });
    tester.run(name, rule as unknown as Rule.RuleModule, {
        valid: cases.valid.map(withOptions),
        invalid: cases.invalid.map(ruleCase => ({
            ...withOptions(ruleCase),
            errors: (ruleCase.errors ?? []).map(messageId => ({ messageId })),
        })),
    });
};
