import type { Command } from "./command.js";
import type { OptionSpec } from "./option-spec.js";
import { programName } from "./program-name.js";
import { sharedOptions } from "./shared-options.js";

const nameWithValue = ([name, { placeholder }]: [string, OptionSpec]): string =>
    placeholder === "" ? `--${name}` : `--${name} ${placeholder}`;

const optionLines = (options: Readonly<Record<string, OptionSpec>>): string[] => {
    const entries = Object.entries(options);
    const width = Math.max(0, ...entries.map(entry => nameWithValue(entry).length));
    return entries.map(entry => `  ${nameWithValue(entry).padEnd(width)}  ${entry[1].description}`);
};

/** Usage of one command with its options. */
export const formatHelp = (command: Command): string => {
    const required = Object.entries(command.options).filter(([, option]) => option.required);
    const words = [programName, command.name, ...required.map(nameWithValue), command.operands, "[options]"];
    return [
        `Usage: ${words.filter(word => word !== "").join(" ")}`,
        "",
        command.summary,
        "",
        "Options:",
        ...optionLines({ ...command.options, ...sharedOptions }),
    ].join("\n");
};
