import { spawn } from "node:child_process";
import { relative } from "node:path";
import { Parser } from "tap-parser";
import type { TestOutcome } from "./test-outcome.js";

/** Longest time for one file. Reached only by a hang; no test depends on it. */
const FileTimeoutMs = 300_000;

/** What the parser reports for one assertion. */
interface Assertion {
    readonly ok: boolean;
    readonly name: string;
    readonly diag?: unknown;
}

/** Collects the failed assertions of all subtests, because a parent's own diagnostic does not show them. */
const collectFailures = (parser: Parser, path: string, failures: string[]): void => {
    parser.on("child", (child: Parser) => {
        const childPath = `${path}${child.name} > `;
        collectFailures(child, childPath, failures);
        child.on("assert", (result: Assertion) => {
            if (!result.ok) {
                failures.push(
                    `${childPath}${result.name}\n${JSON.stringify(result.diag ?? {}, undefined, 2)}`,
                );
            }
        });
    });
};

/** Runs one compiled test file in its own process and reads its TAP output: one outcome for each top-level test. */
export const runTestFile = (root: string, file: string): Promise<TestOutcome[]> => {
    const outcomes: TestOutcome[] = [];
    const name = relative(root, file).replace("/dist/", "/").replace(/\.js$/, ".ts");
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--enable-source-maps", file], {
            cwd: root,
            // The limit of this runner replaces the one of tap, which is 30 s.
            env: { ...process.env, TAP: "1", TAP_TIMEOUT: "0" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const timer = setTimeout(() => child.kill("SIGKILL"), FileTimeoutMs);
        let stderr = "";
        child.stderr.on("data", (chunk: Buffer) => (stderr = (stderr + chunk.toString()).slice(-4000)));
        const parser = new Parser();
        const failures: string[] = [];
        collectFailures(parser, "", failures);
        parser.on("assert", (result: Assertion) => {
            const own = JSON.stringify(result.diag ?? {}, undefined, 2);
            const diagnostic = result.ok ? "" : [own, ...failures.splice(0)].join("\n");
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
