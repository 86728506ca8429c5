import { parseArgs } from "node:util";
import type { ParseArgsConfig } from "node:util";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { validateOption } from "./validate-option.js";
import { OptionKind } from "./option-kind.js";
import type { OptionSpec } from "./option-spec.js";
import { OptionValues } from "./option-values.js";

type OptionSpecs = Readonly<Record<string, OptionSpec>>;

interface ParsedArguments {
    readonly options: OptionValues;
    readonly operands: readonly string[];
}

const usageError = (message: string): Result<never, CodedError> =>
    Err(CodedError.create(ResultCode.UsageError, message));

const toParseArgsOptions = (specs: OptionSpecs): NonNullable<ParseArgsConfig["options"]> =>
    Object.fromEntries(
        Object.entries(specs).map(([name, { kind }]) => [
            name,
            { type: kind === OptionKind.Flag ? "boolean" : "string", multiple: true },
        ]),
    );

const findProblems = (specs: OptionSpecs, values: Readonly<Record<string, readonly string[]>>): string[] =>
    Object.entries(specs).flatMap(([name, spec]) => {
        const given = values[name] ?? [];
        if (spec.required && given.length === 0) {
            return [`Expected --${name} ${spec.placeholder}`];
        }
        if (given.length > 1 && !spec.multiple) {
            return [`Expected --${name} once, got it ${given.length} times`];
        }
        return given.flatMap(value => validateOption(name, spec, value) ?? []);
    });

const parseAndValidate = (
    args: readonly string[],
    specs: OptionSpecs,
): Result<ParsedArguments, CodedError> => {
    const { values, positionals } = parseArgs({
        args: [...args],
        options: toParseArgsOptions(specs),
        allowPositionals: true,
        strict: true,
    });
    const valuesByName = Object.fromEntries(
        Object.entries(values).map(([name, value]) => [name, [value ?? []].flat().map(String)]),
    );
    const parsed = { options: OptionValues.create(valuesByName), operands: positionals };
    if (parsed.options.flag("help")) {
        return Ok(parsed);
    }
    const problems = findProblems(specs, valuesByName);
    return problems.length > 0 ? usageError(problems.join("\n")) : Ok(parsed);
};

/** Parses options and operands and validates the options. One usage error lists all invalid values. */
export const parseOptions = (
    args: readonly string[],
    specs: OptionSpecs,
): Result<ParsedArguments, CodedError> => {
    try {
        return parseAndValidate(args, specs);
    } catch (err) {
        // `parseArgs` throws a `TypeError` with a code for an unknown option or a missing value.
        if (err instanceof TypeError && "code" in err) {
            const names = Object.keys(specs).map(name => `--${name}`);
            const isUnknown = err.code === "ERR_PARSE_ARGS_UNKNOWN_OPTION";
            const reason = err.message.split(". ")[0] ?? "";
            return usageError(isUnknown ? `${reason}. Expected one of ${names.join(", ")}` : err.message);
        }
        throw err;
    }
};
