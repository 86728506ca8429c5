import type { AdminClient } from "./admin-client.js";
import type { OptionValues } from "./option-values.js";
import type { Terminal } from "./terminal.js";

/** Parsed arguments, client and terminal that are passed to a command. */
export interface CommandContext {
    readonly options: OptionValues;
    readonly operands: readonly string[];
    readonly client: AdminClient;
    readonly terminal: Terminal;
}
