// Bundles each program that runs on the operators' platform into one file under target/.
import { build } from "esbuild";

await build({
    entryPoints: { "samphireward-dispatcher": "platform/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    minify: true,
    keepNames: true,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    // Bundled CommonJS modules call require for Node's own modules.
    banner: {
        js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);',
    },
});
