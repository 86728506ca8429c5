import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES, AST_TOKEN_TYPES } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";
import { exportedNames } from "../exported-names.js";

type Options = [{ minLength: number }];
type MessageIds = "missing" | "short";

/** A doc comment before each export; one is enough for a type and a constant of the same name. */
export const docComment = createRule<Options, MessageIds>({
    name: "doc-comment",
    meta: {
        type: "suggestion",
        docs: { description: "Require a doc comment before each export" },
        messages: {
            missing: `Expected a doc comment (/** ... */) before the export "{{name}}".`,
            short: `Expected at least {{minLength}} characters in the doc comment of "{{name}}".`,
        },
        schema: [
            {
                type: "object",
                properties: { minLength: { type: "integer", minimum: 1 } },
                additionalProperties: false,
            },
        ],
    },
    defaultOptions: [{ minLength: 8 }],
    create: (context, [{ minLength }]) => {
        const docText = (statement: TSESTree.Node): string | undefined => {
            const last = context.sourceCode.getCommentsBefore(statement).at(-1);
            return last?.type === AST_TOKEN_TYPES.Block && last.value.startsWith("*")
                ? last.value.replace(/[\s*]+/g, " ").trim()
                : undefined;
        };

        const check = (statement: TSESTree.ProgramStatement, documented: Set<string>): void => {
            const names = exportedNames(statement).filter(name => !documented.has(name));
            const text = docText(statement);
            for (const name of names) {
                if (text === undefined) {
                    context.report({ node: statement, messageId: "missing", data: { name } });
                } else if (text.length < minLength) {
                    context.report({ node: statement, messageId: "short", data: { name, minLength } });
                }
                documented.add(name);
            }
        };

        return {
            Program: program => {
                const documented = new Set<string>();
                for (const statement of program.body) {
                    // A statement without a declaration passes on names that are documented where they are declared.
                    const passesOn =
                        statement.type === AST_NODE_TYPES.ExportAllDeclaration ||
                        (statement.type === AST_NODE_TYPES.ExportNamedDeclaration &&
                            statement.declaration === null);
                    if (!passesOn) {
                        check(statement, documented);
                    }
                }
            },
        };
    },
});
