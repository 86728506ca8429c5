import { spawn } from "node:child_process";
import { relative } from "node:path";
import { Parser } from "tap-parser";
import type { TestOutcome } from "./test-outcome.js";

/** Longest time for one file. Reached only by a hang; no test depends on it. */
const FileTimeoutMs = 300_000;

/** Runs one compiled test file in its own process and reads its TAP output: one outcome for each top-level test. */
export const runTestFile = (root: string, file: string): Promise<TestOutcome[]> => {
    const outcomes: TestOutcome[] = [];
    const name = relative(root, file).replace("/dist/", "/").replace(/\.js$/, ".ts");
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--enable-source-maps", file], {
            cwd: root,
            env: { ...process.env, TAP: "1" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const timer = setTimeout(() => child.kill("SIGKILL"), FileTimeoutMs);
        let stderr = "";
        child.stderr.on("data", (chunk: Buffer) => (stderr = (stderr + chunk.toString()).slice(-4000)));
        const parser = new Parser();
        parser.on("assert", (result: { ok: boolean; name: string; diag?: unknown }) => {
            const diagnostic = result.ok ? "" : JSON.stringify(result.diag ?? {}, undefined, 2);
            outcomes.push({ test: `${name} > ${result.name}`, passed: result.ok, diagnostic });
        });
        child.stdout.pipe(parser);
        child.on("close", status => {
            clearTimeout(timer);
            const failed = outcomes.some(outcome => !outcome.passed);
            if ((status !== 0 && !failed) || outcomes.length === 0) {
                outcomes.push({
                    test: `${name} > exit`,
                    passed: false,
                    diagnostic: `exit ${status}\n${stderr}`,
                });
            }
            resolve(outcomes);
        });
    });
};
