import { createRule } from "../create-rule.js";
import { exportedNames } from "../exported-names.js";

type Options = [{ allow: string[] }];
type MessageIds = "secondExport";

/** At most one exported name in a file; a type and a constant of the same name are one. */
export const oneExport = createRule<Options, MessageIds>({
    name: "one-export",
    meta: {
        type: "suggestion",
        docs: { description: "Require at most one export in a file" },
        messages: {
            secondExport: `Expected one export in a file, but "{{first}}" is exported too. Move "{{name}}" to a file of its own.`,
        },
        schema: [
            {
                type: "object",
                properties: { allow: { type: "array", items: { type: "string" } } },
                additionalProperties: false,
            },
        ],
    },
    defaultOptions: [{ allow: [] }],
    create: (context, [{ allow }]) => ({
        Program: program => {
            let first: string | undefined;
            for (const statement of program.body) {
                for (const name of exportedNames(statement)) {
                    first ??= name;
                    if (name !== first && !allow.includes(name)) {
                        context.report({ node: statement, messageId: "secondExport", data: { first, name } });
                    }
                }
            }
        },
    }),
});
