// The lint script compiles the repository's own rules first.
import { plugin } from "./packages/eslint-plugin/dist/src/plugin.js";
import tseslint from "typescript-eslint";

export default tseslint.config(
    {
        ignores: [
            "**/dist/**",
            "**/node_modules/**",
            "target/**",
            "journal/**",
            "packages/protocol/src/gen/**",
        ],
    },
    {
        files: [
            "packages/*/src/**/*.ts",
            "packages/*/tests/**/*.ts",
            "platform/src/**/*.ts",
            "platform/tests/**/*.ts",
        ],
        extends: [...tseslint.configs.recommendedTypeChecked],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-imports": "error",
            // tap awaits its subtests itself.
            "@typescript-eslint/no-floating-promises": ["error", { allowForKnownSafeCalls: ["test"] }],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                {
                    selector: "memberLike",
                    modifiers: ["private"],
                    format: ["camelCase"],
                    leadingUnderscore: "forbid",
                },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
            curly: "error",
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-arrow-callback": "error",
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        plugins: { samphireward: plugin },
        rules: {
            "samphireward/one-export": "error",
            "samphireward/no-file-banner": "error",
            "samphireward/doc-comment": "error",
            "samphireward/private-constructor": "error",
            "samphireward/no-void-promise": "error",
        },
    },
    {
        files: ["packages/*/tests/**/*.ts", "platform/tests/**/*.ts"],
        plugins: { samphireward: plugin },
        rules: {
            "samphireward/one-export": "error",
            "samphireward/no-file-banner": "error",
        },
    },
    {
        files: ["packages/*/tests/**/*.test.ts", "platform/tests/**/*.test.ts"],
        rules: { "samphireward/test-states-failure": "error" },
    },
);
