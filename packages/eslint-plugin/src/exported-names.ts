import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES } from "@typescript-eslint/utils";

const specifierName = (node: TSESTree.Identifier | TSESTree.StringLiteral): string =>
    node.type === AST_NODE_TYPES.Identifier ? node.name : node.value;

const declaredNames = (declaration: TSESTree.ExportNamedDeclaration["declaration"]): string[] => {
    if (declaration === null) {
        return [];
    }
    if (declaration.type === AST_NODE_TYPES.VariableDeclaration) {
        return declaration.declarations.map(({ id }) =>
            id.type === AST_NODE_TYPES.Identifier ? id.name : "destructured",
        );
    }
    const id = declaration.id;
    return id?.type === AST_NODE_TYPES.Identifier ? [id.name] : [];
};

/** Returns the names that a top-level statement exports; `*` represents all exports of another module. */
export const exportedNames = (statement: TSESTree.ProgramStatement): string[] => {
    if (statement.type === AST_NODE_TYPES.ExportAllDeclaration) {
        return ["*"];
    }
    if (statement.type === AST_NODE_TYPES.ExportDefaultDeclaration) {
        return ["default"];
    }
    if (statement.type !== AST_NODE_TYPES.ExportNamedDeclaration) {
        return [];
    }
    const specified = statement.specifiers.map(specifier => specifierName(specifier.exported));
    return [...declaredNames(statement.declaration), ...specified];
};
