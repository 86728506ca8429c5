import { writeFileSync } from "node:fs";
import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import { defaultTimeoutMs } from "@samphireward/ctl/default-timeout-ms";
import { formatOptions } from "@samphireward/ctl/format-options";
import type { OptionValues } from "@samphireward/ctl/option-values";
import { parseOptions } from "@samphireward/ctl/parse-options";
import { readToken } from "@samphireward/ctl/read-token";
import type { Terminal } from "@samphireward/ctl/terminal";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { buildReport } from "./build-report.js";
import { formatReport } from "./format-report.js";
import { mergeSnapshots } from "./merge-snapshots.js";
import type { MetricsSnapshot } from "./metrics-snapshot.js";
import { readSources } from "./read-sources.js";
import { renderHtml } from "./render-html.js";
import { reportOptions } from "./report-options.js";

const DefaultIntervalMs = 5_000;

const usage = [
    "Usage: samphireward-report SOURCE... [options]",
    "",
    "Burn rates, latencies and queue waits over all entry processes. A source is the address (IP:PORT) of an",
    "administration port or the path of a saved file. The exit code is not 0 when a source could not be read.",
    "",
    "Options:",
    ...formatOptions(reportOptions),
].join("\n");

const writeFile = (path: string, text: string): Result<void, CodedError> => {
    try {
        writeFileSync(path, text);
        return Ok(undefined);
    } catch (err) {
        const message = `Expected a file that can be written, got "${path}": ${(err as Error).message}`;
        return Err(CodedError.create(ResultCode.UsageError, message));
    }
};

const writeReport = (
    snapshots: readonly MetricsSnapshot[],
    missing: readonly { readonly source: string; readonly message: string }[],
    options: OptionValues,
    terminal: Terminal,
): Result<void, CodedError> =>
    mergeSnapshots(snapshots).andThen(metrics => {
        const report = buildReport(metrics, missing);
        const text = options.flag("json") ? JSON.stringify(report) : formatReport(report);
        terminal.writeOut(`${text}\n`);
        const save = options.text("save");
        const html = options.text("html");
        const saved = save === undefined ? Ok(undefined) : writeFile(save, `${JSON.stringify(snapshots)}\n`);
        return saved.andThen(() =>
            html === undefined ? Ok(undefined) : writeFile(html, renderHtml(report, metrics)),
        );
    });

const run = async (args: readonly string[], terminal: Terminal): Promise<Result<void, CodedError>> => {
    const parsed = parseOptions(args, reportOptions);
    if (parsed.isErr()) {
        return Err(parsed.error);
    }
    const { options, operands } = parsed.value;
    if (options.flag("help")) {
        terminal.writeOut(`${usage}\n`);
        return Ok(undefined);
    }
    const token = readToken(options);
    if (token.isErr()) {
        return Err(token.error);
    }
    if (operands.length === 0) {
        const message = "Expected at least one address (IP:PORT) or saved file";
        return Err(CodedError.create(ResultCode.UsageError, message));
    }
    const { snapshots, failures } = await readSources(operands, {
        token: token.value,
        timeoutMs: options.number("timeout-ms") ?? defaultTimeoutMs,
        intervalMs: options.number("interval-ms") ?? DefaultIntervalMs,
    });
    const [failure] = failures;
    const missing = failures.map(({ source, error }) => ({ source, message: error.message }));
    const written =
        snapshots.length === 0 ? Ok(undefined) : writeReport(snapshots, missing, options, terminal);
    return written.isErr() || failure === undefined ? written : Err(failure.error);
};

/** Runs a command line and returns the exit code that belongs to its result code (docs/codes.md). */
export const runReport = async (args: readonly string[], terminal: Terminal): Promise<number> => {
    const result = await run(args, terminal);
    if (result.isOk()) {
        return describeCode(ResultCode.Answered).exitCode;
    }
    const { code, message } = result.error;
    const info = describeCode(code);
    terminal.writeError(`error ${code} ${info.name}: ${message}\n`);
    return info.exitCode;
};
