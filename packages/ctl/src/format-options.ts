import type { OptionSpec } from "./option-spec.js";
import { optionUsage } from "./option-usage.js";

/** Returns one line for each option, with its description. */
export const formatOptions = (options: Readonly<Record<string, OptionSpec>>): string[] => {
    const entries = Object.entries(options);
    const width = Math.max(0, ...entries.map(entry => optionUsage(entry).length));
    return entries.map(entry => `  ${optionUsage(entry).padEnd(width)}  ${entry[1].description}`);
};
