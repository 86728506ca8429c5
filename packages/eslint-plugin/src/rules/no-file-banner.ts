import type { TSESTree } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";

type Options = [{ words: string[] }];
type MessageIds = "banner" | "separator";

const SeparatorPattern = /^[\s/*]*([-=#*~_])\1{7,}/m;

const isDirective = (text: string): boolean => /^\s*(eslint|global|@ts-|<reference|!)/.test(text);

/** No licence headers, no comment that stands apart at the top of a file, and no separator lines. */
export const noFileBanner = createRule<Options, MessageIds>({
    name: "no-file-banner",
    meta: {
        type: "layout",
        docs: { description: "Disallow file banners, licence headers and separator comments" },
        messages: {
            banner: "Expected no banner at the top of the file. Put the text into the doc comment of the export.",
            separator: "Expected no separator line in a comment.",
        },
        schema: [
            {
                type: "object",
                properties: { words: { type: "array", items: { type: "string" } } },
                additionalProperties: false,
            },
        ],
    },
    defaultOptions: [
        { words: ["copyright", "licence", "license", "spdx", "@file", "@fileoverview", "@author"] },
    ],
    create: (context, [{ words }]) => {
        const source = context.sourceCode;

        const isBanner = (comment: TSESTree.Comment, first: TSESTree.Token): boolean => {
            const text = comment.value.toLowerCase();
            const next = source.getTokenAfter(comment, { includeComments: true }) ?? first;
            const standsApart = next.loc.start.line > comment.loc.end.line + 1;
            return standsApart || words.some(word => text.includes(word));
        };

        return {
            Program: () => {
                const first = source.ast.tokens[0];
                for (const comment of source.getAllComments()) {
                    if (String(comment.type) === "Shebang" || isDirective(comment.value)) {
                        continue;
                    }
                    if (SeparatorPattern.test(comment.value)) {
                        context.report({ loc: comment.loc, messageId: "separator" });
                    } else if (
                        first !== undefined &&
                        comment.range[1] <= first.range[0] &&
                        isBanner(comment, first)
                    ) {
                        context.report({ loc: comment.loc, messageId: "banner" });
                    }
                }
            },
        };
    },
});
