import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { CommandContext } from "./command-context.js";
import type { CommandResult } from "./command-result.js";
import type { OptionSpec } from "./option-spec.js";

/** A command of the command-line program. */
export abstract class Command {
    /** Name of one or two words, such as `config show`. */
    abstract readonly name: string;

    abstract readonly summary: string;

    /** Options that only this command accepts; `sharedOptions` are added to them. */
    abstract readonly options: Readonly<Record<string, OptionSpec>>;

    /** Operands as shown by `--help`, such as `KEY...`; empty if there are none. */
    readonly operands: string = "";

    /** Minimum and maximum number of operands. */
    readonly operandCount: readonly [least: number, greatest: number] = [0, 0];

    /** Whether the command sends requests to a process and therefore requires `--address`. */
    readonly requiresAddress: boolean = true;

    abstract run(context: CommandContext): Promise<Result<CommandResult, CodedError>>;
}
