import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { allCommands } from "./all-commands.js";
import type { CommandResult } from "./command-result.js";
import type { Command } from "./command.js";
import { createClient } from "./create-client.js";
import { formatHelp } from "./format-help.js";
import { formatOverview } from "./format-overview.js";
import { parseOptions } from "./parse-options.js";
import { programName } from "./program-name.js";
import { sharedOptions } from "./shared-options.js";
import type { Terminal } from "./terminal.js";

const usageError = (message: string): CodedError => CodedError.create(ResultCode.UsageError, message);

const findCommand = (args: readonly string[]): Command | undefined =>
    allCommands.find(({ name }) => name.split(" ").every((word, index) => args[index] === word));

const validateOperands = (command: Command, operands: readonly string[]): CodedError | undefined => {
    const [min, max] = command.operandCount;
    if (operands.length >= min && operands.length <= max) {
        return undefined;
    }
    const expected = command.operands === "" ? "no operands" : command.operands;
    return usageError(
        `Expected ${expected} after "${command.name}", got: ${operands.join(" ") || "nothing"}`,
    );
};

const printResult = (terminal: Terminal, isJson: boolean, result: CommandResult): void => {
    const text = isJson ? JSON.stringify({ code: result.code, ...result.json }) : result.text;
    terminal.writeOut(`${text}\n`);
};

const printError = (terminal: Terminal, isJson: boolean, { code, message }: CodedError): void => {
    const { name } = describeCode(code);
    if (isJson) {
        terminal.writeOut(`${JSON.stringify({ code, name, message })}\n`);
    } else {
        terminal.writeError(`error ${code} ${name}: ${message}\n`);
    }
};

const runCommand = async (
    command: Command,
    args: readonly string[],
    terminal: Terminal,
): Promise<Result<CommandResult, CodedError>> => {
    const parsed = parseOptions(args, { ...command.options, ...sharedOptions });
    if (parsed.isErr()) {
        return Err(parsed.error);
    }
    const { options, operands } = parsed.value;
    if (options.flag("help")) {
        return Ok({
            code: ResultCode.Answered,
            json: { help: formatHelp(command) },
            text: formatHelp(command),
        });
    }
    const operandError = validateOperands(command, operands);
    if (operandError !== undefined) {
        return Err(operandError);
    }
    if (command.requiresAddress && options.list("address").length === 0) {
        return Err(usageError("Expected --address IP:PORT"));
    }
    const client = createClient(options);
    return client.isErr()
        ? Err(client.error)
        : command.run({ options, operands, client: client.value, terminal });
};

/** Runs a command line and returns the exit code that belongs to its result code (docs/codes.md). */
export const runCtl = async (args: readonly string[], terminal: Terminal): Promise<number> => {
    if (args[0] === "--help") {
        terminal.writeOut(`${formatOverview()}\n`);
        return describeCode(ResultCode.Answered).exitCode;
    }
    const isJson = args.includes("--json");
    const command = findCommand(args);
    if (command === undefined) {
        const names = allCommands.map(({ name }) => name).join(", ");
        const error = usageError(
            `Expected a command (${names}), got "${args.join(" ") || "nothing"}". See ${programName} --help.`,
        );
        printError(terminal, isJson, error);
        return describeCode(error.code).exitCode;
    }
    const result = await runCommand(command, args.slice(command.name.split(" ").length), terminal);
    if (result.isErr()) {
        printError(terminal, isJson, result.error);
        return describeCode(result.error.code).exitCode;
    }
    printResult(terminal, isJson, result.value);
    return describeCode(result.value.code).exitCode;
};
