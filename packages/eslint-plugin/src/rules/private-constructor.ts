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

/** Requires instantiable classes to have a static `create`, and their declared constructor not to be public. */
export const privateConstructor = createRule<Options, MessageIds>({
    name: "private-constructor",
    meta: {
        type: "suggestion",
        docs: { description: "Require a static create instead of a public constructor" },
        messages: {
            missingCreate: `Expected a static "create" in class "{{name}}", because its constructor is public.`,
            publicConstructor: `Expected a private or protected constructor in class "{{name}}", because it has a static "create".`,
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
        const fakeNamePattern = new RegExp(fakePattern);

        const check = (node: ClassNode): void => {
            const name = node.id?.name ?? "(anonymous)";
            // If the superclass is the result of a call (Effect's services and schema classes), the constructor is
            // defined by the library.
            const extendsCallResult = node.superClass?.type === AST_NODE_TYPES.CallExpression;
            const declaredConstructor = findConstructor(node);
            const isConstructorNonPublic =
                declaredConstructor !== undefined &&
                (declaredConstructor.accessibility ?? "public") !== "public";
            if (node.abstract || extendsCallResult || isConstructorNonPublic || fakeNamePattern.test(name)) {
                return;
            }
            if (!hasStaticCreate(node)) {
                context.report({
                    node: declaredConstructor ?? node,
                    messageId: "missingCreate",
                    data: { name },
                });
            } else if (declaredConstructor !== undefined) {
                context.report({ node: declaredConstructor, messageId: "publicConstructor", data: { name } });
            }
        };

        return { ClassDeclaration: check, ClassExpression: check };
    },
});
