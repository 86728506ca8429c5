import type { OptionSpec } from "./option-spec.js";

/** Formats an option with its placeholder, such as `--routes FILE`. */
export const optionUsage = ([name, { placeholder }]: [string, OptionSpec]): string =>
    placeholder === "" ? `--${name}` : `--${name} ${placeholder}`;
