import type { OptionKind } from "./option-kind.js";

/** One option of a command: what it accepts and how `--help` shows it. */
export interface OptionSpec {
    readonly kind: OptionKind;
    /** Name of the value in `--help`; empty for a flag. */
    readonly placeholder: string;
    readonly description: string;
    readonly required?: boolean;
    /** Whether the option can be given several times. */
    readonly multiple?: boolean;
    /** The accepted values, when there are only these. */
    readonly choices?: readonly string[];
}
