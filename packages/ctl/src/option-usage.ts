import type { OptionSpec } from "./option-spec.js";

/** An option with the name of its value, such as `--routes FILE`. */
export const optionUsage = ([name, { placeholder }]: [string, OptionSpec]): string =>
    placeholder === "" ? `--${name}` : `--${name} ${placeholder}`;
