import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES, AST_TOKEN_TYPES } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";
import { exportedNames } from "../exported-names.js";

type Options = [{ minLength: number }];
type MessageIds = "missing" | "short";

/** Requires a doc comment before each export. A type and a constant of the same name need only one. */
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
        const docCommentText = (statement: TSESTree.Node): string | undefined => {
            const lastComment = context.sourceCode.getCommentsBefore(statement).at(-1);
            return lastComment?.type === AST_TOKEN_TYPES.Block && lastComment.value.startsWith("*")
                ? lastComment.value.replace(/[\s*]+/g, " ").trim()
                : undefined;
        };

        const check = (statement: TSESTree.ProgramStatement, documentedNames: Set<string>): void => {
            const undocumentedNames = exportedNames(statement).filter(name => !documentedNames.has(name));
            const text = docCommentText(statement);
            for (const name of undocumentedNames) {
                if (text === undefined) {
                    context.report({ node: statement, messageId: "missing", data: { name } });
                } else if (text.length < minLength) {
                    context.report({ node: statement, messageId: "short", data: { name, minLength } });
                }
                documentedNames.add(name);
            }
        };

        return {
            Program: program => {
                const documentedNames = new Set<string>();
                for (const statement of program.body) {
                    // The names in `export { a }` and `export * from` are documented at their declaration.
                    const hasNoDeclaration =
                        statement.type === AST_NODE_TYPES.ExportAllDeclaration ||
                        (statement.type === AST_NODE_TYPES.ExportNamedDeclaration &&
                            statement.declaration === null);
                    if (!hasNoDeclaration) {
                        check(statement, documentedNames);
                    }
                }
            },
        };
    },
});
