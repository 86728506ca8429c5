import { createRule } from "../create-rule.js";
import { exportedNames } from "../exported-names.js";

type Options = [{ allow: string[] }];
type MessageIds = "secondExport";

/** Allows at most one exported name per file. A type and a constant of the same name count as one. */
export const oneExport = createRule<Options, MessageIds>({
    name: "one-export",
    meta: {
        type: "suggestion",
        docs: { description: "Enforce at most one export per file" },
        messages: {
            secondExport: `Expected at most one export per file, but the file already exports "{{first}}". Move "{{name}}" to its own file.`,
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
