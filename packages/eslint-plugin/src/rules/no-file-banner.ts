import type { TSESTree } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";

type Options = [{ words: string[] }];
type MessageIds = "banner" | "separator";

const SeparatorPattern = /^[\s/*]*([-=#*~_])\1{7,}/m;

const isDirective = (text: string): boolean => /^\s*(eslint|global|@ts-|<reference|!)/.test(text);

/** Disallows licence headers, comments at the top of a file that are followed by a blank line, and separator lines. */
export const noFileBanner = createRule<Options, MessageIds>({
    name: "no-file-banner",
    meta: {
        type: "layout",
        docs: { description: "Disallow file banners, licence headers and separator comments" },
        messages: {
            banner: "Expected no banner at the top of the file. Move the text to the doc comment of the export.",
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

        const isBanner = (comment: TSESTree.Comment, firstToken: TSESTree.Token): boolean => {
            const text = comment.value.toLowerCase();
            const next = source.getTokenAfter(comment, { includeComments: true }) ?? firstToken;
            const isFollowedByBlankLine = next.loc.start.line > comment.loc.end.line + 1;
            return isFollowedByBlankLine || words.some(word => text.includes(word));
        };

        return {
            Program: () => {
                const firstToken = source.ast.tokens[0];
                for (const comment of source.getAllComments()) {
                    if (String(comment.type) === "Shebang" || isDirective(comment.value)) {
                        continue;
                    }
                    if (SeparatorPattern.test(comment.value)) {
                        context.report({ loc: comment.loc, messageId: "separator" });
                    } else if (
                        firstToken !== undefined &&
                        comment.range[1] <= firstToken.range[0] &&
                        isBanner(comment, firstToken)
                    ) {
                        context.report({ loc: comment.loc, messageId: "banner" });
                    }
                }
            },
        };
    },
});
