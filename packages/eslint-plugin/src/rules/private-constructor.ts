import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES } from "@typescript-eslint/utils";
import { createRule } from "../create-rule.js";

type Options = [{ fakePattern: string }];
type MessageIds = "missingCreate" | "publicConstructor";
type ClassNode = TSESTree.ClassDeclaration | TSESTree.ClassExpression;

const hasStaticCreate = (node: ClassNode): boolean =>
    node.body.body.some(
        member =>
            (member.type === AST_NODE_TYPES.MethodDefinition ||
                member.type === AST_NODE_TYPES.PropertyDefinition) &&
            member.static &&
            member.key.type === AST_NODE_TYPES.Identifier &&
            member.key.name === "create",
    );

const findConstructor = (node: ClassNode): TSESTree.MethodDefinition | undefined =>
    node.body.body.find(
        (member): member is TSESTree.MethodDefinition =>
            member.type === AST_NODE_TYPES.MethodDefinition && member.kind === "constructor",
    );

/** A class that can be instantiated offers a static `create`; a constructor that it declares is not public. */
export const privateConstructor = createRule<Options, MessageIds>({
    name: "private-constructor",
    meta: {
        type: "suggestion",
        docs: { description: "Require a static create in place of a public constructor" },
        messages: {
            missingCreate: `Expected a static "create" in class "{{name}}", because its constructor is public.`,
            publicConstructor: `Expected a private or protected constructor in class "{{name}}" beside its static "create".`,
        },
        schema: [
            {
                type: "object",
                properties: { fakePattern: { type: "string" } },
                additionalProperties: false,
            },
        ],
    },
    defaultOptions: [{ fakePattern: "^(Fake|Stub|Recording)[A-Z]|(Fake|Stub)$" }],
    create: (context, [{ fakePattern }]) => {
        const fakes = new RegExp(fakePattern);

        const check = (node: ClassNode): void => {
            const name = node.id?.name ?? "(anonymous)";
            // A class made by a call (Effect's services and schema classes) has its library's constructor.
            const isMadeByCall = node.superClass?.type === AST_NODE_TYPES.CallExpression;
            const declared = findConstructor(node);
            const isHidden = declared !== undefined && (declared.accessibility ?? "public") !== "public";
            if (node.abstract || isMadeByCall || isHidden || fakes.test(name)) {
                return;
            }
            if (!hasStaticCreate(node)) {
                context.report({ node: declared ?? node, messageId: "missingCreate", data: { name } });
            } else if (declared !== undefined) {
                context.report({ node: declared, messageId: "publicConstructor", data: { name } });
            }
        };

        return { ClassDeclaration: check, ClassExpression: check };
    },
});
