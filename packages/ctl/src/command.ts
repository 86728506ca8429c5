import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { CommandContext } from "./command-context.js";
import type { CommandResult } from "./command-result.js";
import type { OptionSpec } from "./option-spec.js";

/** One command of the command line. */
export abstract class Command {
    /** One or two words, such as `config show`. */
    abstract readonly name: string;

    abstract readonly summary: string;

    /** Options beside the shared ones. */
    abstract readonly options: Readonly<Record<string, OptionSpec>>;

    /** Operands in `--help`, such as `KEY...`; empty for none. */
    readonly operands: string = "";

    /** Least and greatest number of operands. */
    readonly operandCount: readonly [least: number, greatest: number] = [0, 0];

    /** Whether the command calls a process and therefore requires `--address`. */
    readonly requiresAddress: boolean = true;

    abstract run(context: CommandContext): Promise<Result<CommandResult, CodedError>>;
}
