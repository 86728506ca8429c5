import { docComment } from "./rules/doc-comment.js";
import { noFileBanner } from "./rules/no-file-banner.js";
import { noVoidPromise } from "./rules/no-void-promise.js";
import { oneExport } from "./rules/one-export.js";
import { privateConstructor } from "./rules/private-constructor.js";
import { testStatesFailure } from "./rules/test-states-failure.js";

/** ESLint plugin with the rules of this repository; eslint.config.js registers it as `samphireward`. */
export const plugin = {
    meta: { name: "@samphireward/eslint-plugin", version: "0.1.0" },
    rules: {
        "doc-comment": docComment,
        "no-file-banner": noFileBanner,
        "no-void-promise": noVoidPromise,
        "one-export": oneExport,
        "private-constructor": privateConstructor,
        "test-states-failure": testStatesFailure,
    },
};
