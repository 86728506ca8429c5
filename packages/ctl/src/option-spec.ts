import type { OptionKind } from "./option-kind.js";

/** Definition of a command-line option: its accepted values and its `--help` text. */
export interface OptionSpec {
    readonly kind: OptionKind;
    /** Placeholder of the value in `--help`; empty for a flag. */
    readonly placeholder: string;
    readonly description: string;
    readonly required?: boolean;
    /** Whether the option can be given more than once. */
    readonly multiple?: boolean;
    /** The accepted values, if the option is limited to a fixed set. */
    readonly choices?: readonly string[];
}
