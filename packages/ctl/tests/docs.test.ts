import { readFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import { allCommands } from "../src/all-commands.js";
import { sharedOptions } from "../src/shared-options.js";
import { run } from "./run.js";

const page = readFileSync(join(process.cwd(), "docs", "ctl.md"), "utf8");

const sectionOf = (title: string): string => {
    const start = page.indexOf(`\n## ${title}\n`);
    const end = page.indexOf("\n## ", start + 1);
    return start < 0 ? "" : page.slice(start, end < 0 ? undefined : end);
};

// Guards against a command or option that is missing from docs/ctl.md or from --help.
t.test("docs/ctl.md and --help list every command and option", async t => {
    const overview = await run(["--help"]);
    t.equal(overview.exitCode, 0);
    for (const name of Object.keys(sharedOptions)) {
        t.ok(sectionOf("Options of every command").includes(`\`--${name}`), name);
    }
    for (const command of allCommands) {
        const section = sectionOf(command.name);
        t.ok(section !== "", `section of ${command.name}`);
        t.match(overview.out, `  ${command.name} `);
        const help = await run([...command.name.split(" "), "--help"]);
        t.equal(help.exitCode, 0);
        for (const name of Object.keys(command.options)) {
            t.ok(section.includes(`\`--${name}`), `${command.name} --${name}`);
        }
        for (const name of Object.keys({ ...command.options, ...sharedOptions })) {
            t.ok(help.out.includes(`  --${name}`), `help of ${command.name}: --${name}`);
        }
    }
});
