import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { invalidTablesResult } from "../invalid-tables-result.js";
import { readTables } from "../read-tables.js";
import { tableOptions } from "../table-options.js";

/** `check`: validates both tables without connecting to a process. */
export class CheckCommand extends Command {
    override readonly name = "check";
    override readonly summary = "Check both tables offline and list every problem.";
    override readonly options = tableOptions;
    override readonly requiresAddress = false;

    static create(): CheckCommand {
        return new CheckCommand();
    }

    override run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const tables = readTables(context.options);
        const result: CommandResult = tables.isErr()
            ? invalidTablesResult(tables.error)
            : { code: ResultCode.Answered, json: { problems: [] }, text: "The tables are valid." };
        return Promise.resolve(Ok(result));
    }
}
