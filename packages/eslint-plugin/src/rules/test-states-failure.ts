import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";

type Options = [{ pattern: string }];
type MessageIds = "missing";

const isTestCall = (node: TSESTree.CallExpression): boolean => {
    const callee = node.callee.type === AST_NODE_TYPES.MemberExpression ? node.callee.property : node.callee;
    const hasFunctionArgument = node.arguments.some(
        argument =>
            argument.type === AST_NODE_TYPES.ArrowFunctionExpression ||
            argument.type === AST_NODE_TYPES.FunctionExpression,
    );
    return callee.type === AST_NODE_TYPES.Identifier && callee.name === "test" && hasFunctionArgument;
};

/** Requires a comment before or inside each top-level test that states which failure the test guards against. */
export const testStatesFailure = createRule<Options, MessageIds>({
    name: "test-states-failure",
    meta: {
        type: "suggestion",
        docs: { description: "Require a comment that states which failure a test guards against" },
        messages: {
            missing: `Expected a comment such as "Guards against ..." before or inside the test.`,
        },
        schema: [
            {
                type: "object",
                properties: { pattern: { type: "string" } },
                additionalProperties: false,
            },
        ],
    },
    defaultOptions: [{ pattern: "\\bguards? against\\b" }],
    create: (context, [{ pattern }]) => {
        const source = context.sourceCode;
        const commentPattern = new RegExp(pattern, "i");
        let testDepth = 0;

        // For a test inside a loop or block, the comments of the enclosing top-level statement apply.
        const topLevelStatementOf = (node: TSESTree.Node): TSESTree.Node => {
            let statement = node;
            while (statement.parent !== undefined && statement.parent.type !== AST_NODE_TYPES.Program) {
                statement = statement.parent;
            }
            return statement;
        };

        const statesFailure = (node: TSESTree.Node): boolean => {
            const statement = topLevelStatementOf(node);
            const before = source.getCommentsBefore(statement);
            const inside = source.getCommentsInside(statement);
            return [...before, ...inside].some(comment => commentPattern.test(comment.value));
        };

        return {
            CallExpression: node => {
                if (!isTestCall(node)) {
                    return;
                }
                if (testDepth === 0 && !statesFailure(node)) {
                    context.report({ node, messageId: "missing" });
                }
                testDepth += 1;
            },
            "CallExpression:exit": node => {
                if (isTestCall(node)) {
                    testDepth -= 1;
                }
            },
        };
    },
});
