import type { Command } from "./command.js";
import { formatOptions } from "./format-options.js";
import { optionUsage } from "./option-usage.js";
import { programName } from "./program-name.js";
import { sharedOptions } from "./shared-options.js";

/** Formats the usage and the options of a command. */
export const formatHelp = (command: Command): string => {
    const required = Object.entries(command.options).filter(([, option]) => option.required);
    const words = [programName, command.name, ...required.map(optionUsage), command.operands, "[options]"];
    return [
        `Usage: ${words.filter(word => word !== "").join(" ")}`,
        "",
        command.summary,
        "",
        "Options:",
        ...formatOptions({ ...command.options, ...sharedOptions }),
    ].join("\n");
};
