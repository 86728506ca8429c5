import { ESLintUtils } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";

type Options = [];
type MessageIds = "unhandled";

/** Disallows `void` before a promise, which leaves its rejection without a handler. Needs type information. */
export const noVoidPromise = createRule<Options, MessageIds>({
    name: "no-void-promise",
    meta: {
        type: "problem",
        docs: { description: "Disallow void before a promise" },
        messages: {
            unhandled: "Expected a handler for the rejection of the promise. Pass it to runInBackground.",
        },
        schema: [],
    },
    defaultOptions: [],
    create: context => {
        const services = ESLintUtils.getParserServices(context);
        return {
            'UnaryExpression[operator="void"]': ({ argument }) => {
                const type = services.getTypeAtLocation(argument);
                const types = type.isUnion() ? type.types : [type];
                if (types.some(each => each.getProperty("then") !== undefined)) {
                    context.report({ node: argument, messageId: "unhandled" });
                }
            },
        };
    },
});
