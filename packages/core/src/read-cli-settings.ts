import { parseArgs } from "node:util";
import type * as Schema from "effect/Schema";
import { describeCode } from "./describe-code.js";
import { loadSettings } from "./load-settings.js";
import { ResultCode } from "./result-code.js";

const exitWith = (code: ResultCode, text: string): never => {
    process.stderr.write(`${text}\n`);
    return process.exit(describeCode(code).exitCode);
};

const parseConfigOption = (usage: string): string => {
    try {
        const { values } = parseArgs({ options: { config: { type: "string" }, help: { type: "boolean" } } });
        if (values.help === true) {
            process.stdout.write(`${usage}\n`);
            process.exit(0);
        }
        return values.config ?? exitWith(ResultCode.UsageError, `--config FILE is required\n${usage}`);
    } catch (err) {
        return exitWith(ResultCode.UsageError, `${(err as Error).message}\n${usage}`);
    }
};

/**
 * Reads the settings file that `--config` names on the command line. When the command line or the file is invalid,
 * prints each problem with its file and key and exits with the exit code of the result code.
 */
export const readCliSettings = <S extends Schema.ConstraintDecoder<unknown>>(
    binary: string,
    schema: S,
): S["Type"] => {
    const usage = `Usage: ${binary} --config FILE\n\nRuns ${binary} with a TOML settings file until it is stopped by SIGTERM.`;
    const settings = loadSettings(parseConfigOption(usage), schema);
    if (settings.isOk()) {
        return settings.value;
    }
    const lines = settings.error.map(
        ({ file, key, message }) => `${file}: ${key === "" ? "" : `${key}: `}${message}`,
    );
    return exitWith(ResultCode.SettingsInvalid, lines.join("\n"));
};
