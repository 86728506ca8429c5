import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { MembersResponse } from "../responses/members-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatTable } from "../format-table.js";

/** `members`: lists the system's processes with the configuration revision that each one uses. */
export class MembersCommand extends Command {
    override readonly name = "members";
    override readonly summary = "List the system's processes, their state and their configuration revision.";
    override readonly options = {};

    static create(): MembersCommand {
        return new MembersCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const response = await context.client.get("/v1/members", MembersResponse);
        return response.map(({ members }) => ({
            code: ResultCode.Answered,
            json: { members },
            text: formatTable(
                ["NAME", "ROLE", "REGION", "DATA CENTRE", "ADDRESS", "REVISION", "STATE"],
                members.map(member => [
                    member.name,
                    member.role,
                    member.region,
                    member.dataCentre,
                    member.address,
                    member.revision,
                    member.state,
                ]),
            ),
        }));
    }
}
