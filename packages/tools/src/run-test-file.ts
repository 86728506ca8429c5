import { spawn } from "node:child_process";
import { relative } from "node:path";
import { Parser } from "tap-parser";
import type { TestOutcome } from "./test-outcome.js";

/**
 * A test file that runs longer is killed. Only a hung test reaches this limit; no test depends on it. The cases of
 * `client-limits-processes`, one after the other, take over four minutes.
 */
const TestFileTimeoutMs = 600_000;

/** Result of one assertion as tap-parser reports it. */
interface Assertion {
    readonly ok: boolean;
    readonly name: string;
    readonly diag?: unknown;
}

/** The end of a TAP output as tap-parser reports it. */
interface Completion {
    readonly failures: readonly { readonly tapError?: unknown }[];
}

/** Collects the failed assertions of all subtests; the diagnostic of the parent test does not contain them. */
const collectFailures = (parser: Parser, prefix: string, failures: string[]): void => {
    parser.on("child", (child: Parser) => {
        const childPrefix = `${prefix}${child.name} > `;
        collectFailures(child, childPrefix, failures);
        child.on("assert", (result: Assertion) => {
            if (!result.ok) {
                failures.push(
                    `${childPrefix}${result.name}\n${JSON.stringify(result.diag ?? {}, undefined, 2)}`,
                );
            }
        });
    });
};

/** Runs one compiled test file in its own process and returns one outcome per top-level test of its TAP output. */
export const runTestFile = (root: string, file: string): Promise<TestOutcome[]> => {
    const outcomes: TestOutcome[] = [];
    const sourceFile = relative(root, file).replace("/dist/", "/").replace(/\.js$/, ".ts");
    return new Promise(resolve => {
        const child = spawn(process.execPath, ["--enable-source-maps", file], {
            cwd: root,
            // Disables tap's own time-out of 30 s; TestFileTimeoutMs applies instead.
            env: { ...process.env, TAP: "1", TAP_TIMEOUT: "0" },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const timer = setTimeout(() => child.kill("SIGKILL"), TestFileTimeoutMs);
        let stderr = "";
        child.stderr.on("data", (chunk: Buffer) => (stderr = (stderr + chunk.toString()).slice(-4000)));
        const parser = new Parser();
        const failures: string[] = [];
        collectFailures(parser, "", failures);
        parser.on("assert", (result: Assertion) => {
            const ownDiagnostic = JSON.stringify(result.diag ?? {}, undefined, 2);
            const diagnostic = result.ok ? "" : [ownDiagnostic, ...failures.splice(0)].join("\n");
            outcomes.push({ test: `${sourceFile} > ${result.name}`, passed: result.ok, diagnostic });
        });
        let isComplete = false;
        parser.on("complete", ({ failures: problems }: Completion) => {
            // A missing plan, or one that was not kept, is listed with the failed assertions.
            isComplete = problems.every(({ tapError }) => typeof tapError !== "string");
        });
        child.stdout.pipe(parser);
        child.on("close", (exitCode, signal) => {
            clearTimeout(timer);
            const hasFailedTest = outcomes.some(outcome => !outcome.passed);
            // Exit code 1 is tap's own after a failed test, but also that of a process which ended before its last test.
            const isExpected = exitCode === 0 || (exitCode === 1 && hasFailedTest && isComplete);
            if (!isExpected || outcomes.length === 0) {
                outcomes.push({
                    test: `${sourceFile} > exit`,
                    passed: false,
                    diagnostic: `process exited with code ${exitCode}, signal ${signal}\n${stderr}`,
                });
            }
            resolve(outcomes);
        });
    });
};
