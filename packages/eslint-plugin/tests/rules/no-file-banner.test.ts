import t from "tap";
import { noFileBanner } from "../../src/rules/no-file-banner.js";
import { runRule } from "../run-rule.js";

// Guards against licence headers and separators that are not reported, and against ordinary comments that are.
t.test("no-file-banner", t => {
    runRule("no-file-banner", noFileBanner, {
        valid: [
            { code: `/** Doc of the export. */\nexport const a = 1;` },
            { code: `// The store must be loaded first.\nimport "./store.js";` },
            { code: `#!/usr/bin/env node\n\nimport "./main.js";` },
            { code: `// eslint-disable-next-line no-console\n\nconst a = 1;` },
            { code: `const a = 1;\n// Copyright applies to the text that is rendered.\nconst b = 2;` },
            { code: `/*\n * a -- b\n */\nconst a = 1;` },
        ],
        invalid: [
            { code: `// Copyright 2026\nimport "./a.js";`, errors: ["banner"] },
            { code: `/* SPDX-License-Identifier: Apache-2.0 */\nconst a = 1;`, errors: ["banner"] },
            { code: `/** @fileoverview Things. */\nconst a = 1;`, errors: ["banner"] },
            { code: `// This module does things.\n\nimport "./a.js";`, errors: ["banner"] },
            {
                code: `// Property of nobody.\nconst a = 1;`,
                options: [{ words: ["property of"] }],
                errors: ["banner"],
            },
            { code: `const a = 1;\n// ==========\nconst b = 2;`, errors: ["separator"] },
            { code: `/********** helpers **********/\nconst a = 1;`, errors: ["separator"] },
        ],
    });
    t.end();
});
