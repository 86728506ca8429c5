import { readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { plugin } from "../src/plugin.js";

const docsDir = join(process.cwd(), "packages/eslint-plugin/docs/rules");

// Guards against a rule without a documentation page, a message or option missing from it, and a page without a rule.
t.test("each rule has a documentation page that lists its messages and options", t => {
    const names = Object.keys(plugin.rules);
    t.strictSame(readdirSync(docsDir).sort(), names.map(name => `${name}.md`).sort());
    for (const [name, rule] of Object.entries(plugin.rules)) {
        const page = readFileSync(join(docsDir, `${name}.md`), "utf8");
        const [schema] = rule.meta.schema as unknown as readonly { properties: object }[];
        const words = [...Object.keys(rule.meta.messages), ...Object.keys(schema?.properties ?? {})];
        t.ok(page.startsWith(`# ${name}\n`), `${name}: title`);
        t.equal(rule.meta.docs?.url, `packages/eslint-plugin/docs/rules/${name}.md`);
        for (const word of words) {
            t.ok(page.includes(`\`${word}\``), `${name}: ${word}`);
        }
    }
    t.end();
});
