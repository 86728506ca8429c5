import type { TSESTree } from "@typescript-eslint/utils";
import { AST_NODE_TYPES } from "@typescript-eslint/utils";

const nameOf = (node: TSESTree.Identifier | TSESTree.StringLiteral): string =>
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

/** Names that a top-level statement exports; `*` stands for all names of another module. */
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
    const specified = statement.specifiers.map(specifier => nameOf(specifier.exported));
    return [...declaredNames(statement.declaration), ...specified];
};
