import { execFile } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EntrySettings } from "@samphireward/entry/entry-settings";
import { SchedulerSettings } from "@samphireward/scheduler/scheduler-settings";
import t from "tap";

const require = createRequire(import.meta.url);

const valid = `
name = "s-1"
region = "north"
dataCentre = "a"
logLevel = "info"
[peer]
listen = "127.0.0.1:1"
seeds = []
[placement]
tailLatency = 1
batch = 1
load = 1
toleratedSlowdown = 2
[store]
address = "127.0.0.1:1"
timeout = "1s"
[directory]
address = "127.0.0.1:1"
interval = "1s"
`;

const start = (settings: string): Promise<{ exitCode: unknown; stderr: string }> => {
    const file = join(mkdtempSync(join(tmpdir(), "settings-")), "scheduler.toml");
    writeFileSync(file, settings);
    return new Promise(resolve => {
        execFile(
            process.execPath,
            [require.resolve("@samphireward/scheduler/main"), "--config", file],
            (err, _stdout, stderr) => resolve({ exitCode: err?.code ?? 0, stderr }),
        );
    });
};

// Guards against a process that starts with invalid settings, or does not report which key is invalid.
t.test("a process with invalid settings names the key and exits with code 5", async t => {
    const invalid = [
        {
            name: "unknown key",
            settings: `colour = 1\n${valid}`,
            line: "colour: Expected no excess property",
        },
        {
            name: "wrong type",
            settings: valid.replace("batch = 1", `batch = "x"`),
            line: "placement.batch: Expected",
        },
        {
            name: "missing key",
            settings: valid.replace(`listen = "127.0.0.1:1"`, ""),
            line: "peer.listen: Missing key",
        },
        {
            name: "host name instead of an IP address",
            settings: valid.replace("127.0.0.1:1", "db:1"),
            line: "peer.listen: Expected an IP",
        },
        {
            name: "duration without a unit",
            settings: valid.replace(`"1s"`, `"1"`),
            line: "store.timeout: Expected a duration",
        },
        { name: "invalid TOML", settings: "[peer", line: "line 1" },
    ];
    for (const { name, settings, line } of invalid) {
        const { exitCode, stderr } = await start(settings);
        t.equal(exitCode, 5, name);
        t.match(stderr, line, name);
    }
});

// Guards against a settings key that operators cannot look up.
t.test("docs/settings.md lists every key", t => {
    const page = readFileSync(join(process.cwd(), "docs", "settings.md"), "utf8");
    for (const fields of [EntrySettings.fields, SchedulerSettings.fields]) {
        for (const [name, schema] of Object.entries(fields as Readonly<Record<string, object>>)) {
            const inner = "fields" in schema ? Object.keys(schema.fields as object) : [""];
            for (const key of inner.map(each => (each === "" ? name : `${name}.${each}`))) {
                t.ok(page.includes(`\`${key}\``), key);
            }
        }
    }
    t.end();
});
