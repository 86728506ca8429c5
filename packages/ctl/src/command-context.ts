import type { AdminClient } from "./admin-client.js";
import type { OptionValues } from "./option-values.js";
import type { Terminal } from "./terminal.js";

/** What a command works with. */
export interface CommandContext {
    readonly options: OptionValues;
    readonly operands: readonly string[];
    readonly client: AdminClient;
    readonly terminal: Terminal;
}
