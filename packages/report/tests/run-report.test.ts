import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Terminal } from "@samphireward/ctl/terminal";
import t from "tap";
import type { Report } from "../src/report.js";
import { runReport } from "../src/run-report.js";
import { sampleSnapshots } from "./sample-snapshots.js";

class RecordingTerminal extends Terminal {
    out = "";
    error = "";

    override writeOut(text: string): void {
        this.out += text;
    }

    override writeError(text: string): void {
        this.error += text;
    }

    override readInput(): Promise<string> {
        return Promise.resolve("");
    }
}

const run = async (...args: string[]): Promise<{ exitCode: number; out: string; error: string }> => {
    const terminal = new RecordingTerminal();
    const exitCode = await runReport(args, terminal);
    return { exitCode, out: terminal.out, error: terminal.error };
};

const dir = mkdtempSync(join(tmpdir(), "samphireward-"));
const sampleFile = join(dir, "sample.json");
writeFileSync(sampleFile, JSON.stringify(sampleSnapshots()));

// Guards against a page that needs scripts or other files, has unescaped text of a process, or lacks a chart.
t.test("--html writes one self-contained page", async t => {
    const [first] = sampleSnapshots();
    t.ok(first);
    const file = join(dir, "odd-name.json");
    const routes = { [`<script>alert("x")</script>`]: first!.routes["order"] };
    writeFileSync(file, JSON.stringify({ ...first, routes }));
    const page = join(dir, "report.html");
    t.equal((await run(file, "--html", page)).exitCode, 0);
    const html = readFileSync(page, "utf8");
    t.notMatch(html, /<script|<link|<img|@import|url\((?!#)/i);
    t.match(html, /&lt;script&gt;alert\(&quot;x&quot;\)/);
    t.equal(html.match(/<svg /g)?.length, 3);
    t.notMatch(html, /NaN|undefined|Infinity/);
    const ids = [...html.matchAll(/ id="([^"]+)"/g)].map(match => match[1]);
    t.equal(new Set(ids).size, ids.length, "charts share no element ids");
});

// Guards against text output that lacks data of the JSON, and against saved readings that differ from live ones.
t.test("live readings, saved readings and the text agree", async t => {
    const snapshots = sampleSnapshots();
    const server = createServer((_req, res) => res.end(JSON.stringify(snapshots[0])));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const saved = join(dir, "saved.json");
    const live = await run(address, "--interval-ms", "0", "--save", saved, "--json");
    const fromFile = await run(saved, "--json");
    t.equal(live.exitCode, 0);
    t.equal(fromFile.out, live.out);
    const unreachable = await run(address, "127.0.0.1:1", "--interval-ms", "0");
    t.equal(unreachable.exitCode, 2);
    t.match(unreachable.out, /Missing: 127\.0\.0\.1:1: No connection/);
    t.match(unreachable.out, /^proof-render .* ticket /m);
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

// Guards against an unnoticed change of a JSON field that scripts read.
t.test("--json", async t => {
    const { out } = await run(sampleFile, "--json");
    const report = JSON.parse(out) as Report;
    t.strictSame(report.processes, ["entry-1", "entry-2", "entry-3"]);
    t.match(report, { missing: [], spreadMs: 0, endMs: report.startMs + 3_600_000 });
    const route = report.routes.find(item => item.route === "proof-render");
    t.match(route?.windows, [
        { windowMs: 300_000 },
        { windowMs: 1_800_000 },
        { windowMs: 3_600_000, coveredMs: 3_600_000 },
    ]);
    t.strictSame(route?.rules, [
        { name: "page", threshold: 14.4, firing: false },
        { name: "ticket", threshold: 6, firing: true },
    ]);
    t.equal(route?.latency.count, 21_600);
    t.strictSame(
        report.pools.map(({ pool }) => pool),
        ["bolt-watches", "cutting", "ordrestue"],
    );
});

// Guards against error messages that do not name the expected input.
t.test("invalid command lines and files", async t => {
    const notMetrics = join(dir, "other.json");
    writeFileSync(notMetrics, `{ "process": 1 }`);
    const cases = [
        { args: [], exitCode: 64, error: /Expected at least one address \(IP:PORT\) or saved file/ },
        {
            args: ["/nonexistent/f"],
            exitCode: 64,
            error: /Expected an address \(IP:PORT\) or a readable file/,
        },
        { args: [sampleFile, "--html", "/nonexistent/d/f"], exitCode: 64, error: /file that can be written/ },
        { args: [notMetrics], exitCode: 3, error: /other\.json gave another shape/ },
        { args: ["--colour"], exitCode: 64, error: /Expected one of --html/ },
    ];
    for (const { args, exitCode, error } of cases) {
        const result = await run(...args);
        t.equal(result.exitCode, exitCode, args.join(" "));
        t.match(result.error, error);
    }
});

// Guards against a chart that keeps a timer running, which prevents the program from exiting.
t.test("the program exits after writing the page", t => {
    const main = join(process.cwd(), "packages/report/dist/src/main.js");
    const child = spawnSync(process.execPath, [main, sampleFile, "--html", join(dir, "exit.html")], {
        timeout: 60_000,
    });
    t.equal(child.status, 0);
    t.end();
});
