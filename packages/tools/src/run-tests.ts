import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parseKnownFailures } from "./parse-known-failures.js";
import { runTestFile } from "./run-test-file.js";
import type { TestOutcome } from "./test-outcome.js";

/** Number of test files that run at the same time. */
const MaxConcurrentFiles = 4;

/**
 * The test files of this package run one at a time. Each of its tests starts up to 20 processes and sends them
 * requests with deadlines, so tests that run in parallel on one machine would affect each other's latency.
 */
const SerialTestPackage = "packages/demo";
/**
 * These files run alone as well: they send a process as much as it takes, which delays other tests, and other load would
 * keep the excess from reaching the process.
 */
const SerialTestFiles = /client-limits[^/]*\.test\.js$/;

const isSerial = (file: string): boolean =>
    file.includes(`/${SerialTestPackage}/`) || SerialTestFiles.test(file);

/**
 * Lists the compiled test files of the given packages. Starts from the sources, because the compiler does not delete
 * the output of a renamed file.
 */
const findTestFiles = (root: string, packages: readonly string[]): string[] =>
    packages
        .filter(dir => existsSync(join(root, dir, "tests")))
        .flatMap(dir =>
            readdirSync(join(root, dir, "tests"), { recursive: true, encoding: "utf8" })
                .filter(file => file.endsWith(".test.ts"))
                .sort()
                .map(file => join(root, dir, "dist", "tests", file.replace(/\.ts$/, ".js"))),
        );

const runTestFiles = async (
    root: string,
    files: readonly string[],
    concurrency: number,
): Promise<TestOutcome[]> => {
    const pendingFiles = [...files];
    const outcomes: TestOutcome[] = [];
    const worker = async (): Promise<void> => {
        for (let file = pendingFiles.shift(); file !== undefined; file = pendingFiles.shift()) {
            const result = await runTestFile(root, file);
            outcomes.push(...result);
            printFailures(result);
        }
    };
    await Promise.all(Array.from({ length: concurrency }, worker));
    return outcomes;
};

const printFailures = (outcomes: readonly TestOutcome[]): void => {
    for (const outcome of outcomes.filter(outcome => !outcome.passed)) {
        process.stdout.write(`not ok: ${outcome.test}\n${outcome.diagnostic}\n`);
    }
};

const main = async (): Promise<void> => {
    const root = process.cwd();
    const knownFailuresFile = join(root, "KNOWN-RED.txt");
    const knownFailures = existsSync(knownFailuresFile)
        ? parseKnownFailures(readFileSync(knownFailuresFile, "utf8"))
        : [];
    const requestedPackages = process.argv.slice(2);
    const packages =
        requestedPackages.length > 0
            ? requestedPackages
            : [...readdirSync(join(root, "packages")).map(name => `packages/${name}`), "platform"];
    const files = findTestFiles(root, packages);
    const outcomes = [
        ...(await runTestFiles(
            root,
            files.filter(file => !isSerial(file)),
            MaxConcurrentFiles,
        )),
        ...(await runTestFiles(root, files.filter(isSerial), 1)),
    ];
    const isKnownFailure = (outcome: TestOutcome): boolean =>
        knownFailures.some(entry => entry.test === outcome.test);
    const unexpectedFailures = outcomes.filter(outcome => !outcome.passed && !isKnownFailure(outcome));
    for (const entry of knownFailures) {
        process.stdout.write(`known failure: ${entry.line}\n`);
    }
    const passedCount = outcomes.filter(outcome => outcome.passed).length;
    process.stdout.write(`${passedCount} passed, ${unexpectedFailures.length} failed\n`);
    process.exitCode = unexpectedFailures.length === 0 && passedCount > 0 ? 0 : 1;
};

await main();
