import { allCommands } from "./all-commands.js";
import { programName } from "./program-name.js";

/** Formats the usage of the program and the list of its commands. */
export const formatOverview = (): string => {
    const width = Math.max(...allCommands.map(({ name }) => name.length));
    return [
        `Usage: ${programName} COMMAND [options]`,
        "",
        "Commands:",
        ...allCommands.map(({ name, summary }) => `  ${name.padEnd(width)}  ${summary}`),
        "",
        `"${programName} COMMAND --help" lists the options of a command.`,
    ].join("\n");
};
