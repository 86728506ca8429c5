import { join } from "node:path";
import { runRule } from "./run-rule.js";

const parserOptions = {
    projectService: { allowDefaultProject: ["*.ts"], defaultProject: "tsconfig.base.json" },
    tsconfigRootDir: process.cwd(),
};

/** Runs a rule that needs type information like `runRule`. */
export const runTypedRule = (...[name, rule, cases]: Parameters<typeof runRule>): void => {
    const withFile = <T extends object>(ruleCase: T): T & { filename: string } => ({
        ...ruleCase,
        filename: join(process.cwd(), "case.ts"),
    });
    runRule(
        name,
        rule,
        { valid: cases.valid.map(withFile), invalid: cases.invalid.map(withFile) },
        parserOptions,
    );
};
