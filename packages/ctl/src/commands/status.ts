import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import type { TaskResponse } from "../responses/task-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { poolOption } from "../pool-option.js";
import { fetchTask } from "../fetch-task.js";

const describe = (task: TaskResponse): string => {
    const lines = [`${task.key} (pool ${task.pool}): ${task.state}, attempt ${task.attempt}`];
    if (task.worker !== undefined && task.worker !== "") {
        lines.push(`worker: ${task.worker}`);
    }
    if (task.output !== undefined && task.output !== "") {
        lines.push(`output: ${task.output}`);
    }
    return lines.join("\n");
};

/** `status`: shows the state, attempt, worker and output of a task. */
export class StatusCommand extends Command {
    override readonly name = "status";
    override readonly summary = "Show the state of a task.";
    override readonly options = poolOption;
    override readonly operands = "KEY";
    override readonly operandCount = [1, 1] as const;

    static create(): StatusCommand {
        return new StatusCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const response = await fetchTask(context);
        return response.map(task => ({ code: task.code, json: { task }, text: describe(task) }));
    }
}
