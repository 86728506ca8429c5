import type { TSESLint } from "@typescript-eslint/utils";
import type { Rule } from "eslint";
import { RuleTester } from "eslint";
import tseslint from "typescript-eslint";

/** A code snippet and the message ids the rule is expected to report; valid code has none. */
interface RuleCase {
    readonly code: string;
    readonly options?: readonly unknown[];
    readonly errors?: readonly string[];
}

/** Runs ESLint's RuleTester on a table of snippets. Throws on the first mismatch. */
export const runRule = (
    name: string,
    rule: TSESLint.RuleModule<string, readonly unknown[]>,
    cases: { readonly valid: readonly RuleCase[]; readonly invalid: readonly RuleCase[] },
): void => {
    const tester = new RuleTester({
        languageOptions: { parser: tseslint.parser },
    });
    const withOptions = ({ code, options }: RuleCase): { code: string; options: unknown[] } => ({
        code,
        options: [...(options ?? [])],
    });
    tester.run(name, rule as unknown as Rule.RuleModule, {
        valid: cases.valid.map(withOptions),
        invalid: cases.invalid.map(ruleCase => ({
            ...withOptions(ruleCase),
            errors: (ruleCase.errors ?? []).map(messageId => ({ messageId })),
        })),
    });
};
