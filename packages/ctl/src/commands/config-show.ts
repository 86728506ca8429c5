import type { CodedError } from "@samphireward/core/coded-error";
import { ConfigDocument } from "@samphireward/core/config-document";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatTime } from "../format-time.js";
import { OptionKind } from "../option-kind.js";

const formatConfig = (config: ConfigDocument): string =>
    [
        `# revision ${config.revision}, change id ${config.changeId}`,
        `# ${config.author}, ${formatTime(config.timeMs)}`,
        `\n# routes\n${config.routes.trimEnd()}`,
        `\n# pools\n${config.pools.trimEnd()}`,
    ].join("\n");

/** `config show`: prints the tables in force. */
export class ConfigShowCommand extends Command {
    override readonly name = "config show";
    override readonly summary = "Show the tables in force with their revision.";
    override readonly options = {
        table: {
            kind: OptionKind.Text,
            placeholder: "routes|pools",
            description: "Print only this table, as it was applied; its revision is on standard error.",
            choices: ["routes", "pools"],
        },
    };

    static create(): ConfigShowCommand {
        return new ConfigShowCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const response = await context.client.get("/v1/config", ConfigDocument);
        const table = context.options.text("table");
        return response.map(config => {
            if (table !== undefined) {
                context.terminal.writeError(`revision ${config.revision}\n`);
            }
            const tableText = table === "routes" ? config.routes : config.pools;
            const text = table === undefined ? formatConfig(config) : tableText.replace(/\n$/, "");
            return { code: ResultCode.Answered, json: { ...config }, text };
        });
    }
}
