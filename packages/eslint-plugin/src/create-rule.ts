import { ESLintUtils } from "@typescript-eslint/utils";

/** Creates a typed rule whose documentation is the page `docs/rules/<name>.md` of this package. */
export const createRule = ESLintUtils.RuleCreator(name => `packages/eslint-plugin/docs/rules/${name}.md`);
