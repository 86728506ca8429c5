import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { HistoryResponse } from "../responses/history-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatTable } from "../format-table.js";
import { formatTime } from "../format-time.js";

/** `config history`: lists who changed the tables and when. */
export class ConfigHistoryCommand extends Command {
    override readonly name = "config history";
    override readonly summary = "List the changes of the tables that the process has seen, newest first.";
    override readonly options = {};

    static create(): ConfigHistoryCommand {
        return new ConfigHistoryCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const response = await context.client.get("/v1/config/history", HistoryResponse);
        return response.map(({ changes }) => ({
            code: ResultCode.Answered,
            json: { changes },
            text: formatTable(
                ["REVISION", "TIME", "AUTHOR", "CHANGE ID"],
                changes.map(change => [
                    change.revision,
                    formatTime(change.timeMs),
                    change.author,
                    change.changeId,
                ]),
            ),
        }));
    }
}
