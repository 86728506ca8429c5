import type { CodedError } from "@samphireward/core/coded-error";
import { ConfigDocument } from "@samphireward/core/config-document";
import { Resources } from "@samphireward/core/resources";
import { Tables } from "@samphireward/core/tables";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { CellsResponse } from "../responses/cells-response.js";
import type { TaskResponse } from "../responses/task-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatResources } from "../format-resources.js";
import { poolOption } from "../pool-option.js";
import { fetchTask } from "../fetch-task.js";

type Cell = CellsResponse["cells"][number];

const findHomeCell = (config: ConfigDocument, task: TaskResponse): string | undefined => {
    const tables = Tables.create(config.routes, config.pools);
    const pool = tables.isOk() ? tables.value.pools.get(task.pool) : undefined;
    return tables.isOk() && pool !== undefined ? String(tables.value.homeCell(pool, task.key)) : undefined;
};

const formatWorkerStates = (cell: Cell): string => {
    const counts = new Map<string, number>();
    for (const worker of cell.workers) {
        counts.set(worker.state, (counts.get(worker.state) ?? 0) + 1);
    }
    return [...counts].map(([state, count]) => `${count} ${state}`).join(", ") || "none";
};

const formatMaxFree = (cell: Cell): string => {
    const free = cell.workers.map(({ capacity, reserved }) => Resources.create(capacity).minus(reserved));
    const maxFree = Resources.create({
        processors: Math.max(0, ...free.map(({ processors }) => processors)),
        memoryMb: Math.max(0, ...free.map(({ memoryMb }) => memoryMb)),
        accelerators: Math.max(0, ...free.map(({ accelerators }) => accelerators)),
    });
    return formatResources(maxFree);
};

const describeCell = (name: string | undefined, cell: Cell | undefined): string[] => {
    if (cell === undefined) {
        return [`home cell: ${name ?? "unknown"}; its state cannot be read now`];
    }
    return [
        `home cell: ${cell.cell}, owner ${cell.owner || "(none)"}, epoch ${cell.epoch}`,
        `in the cell: ${cell.queued} tasks queued, ${cell.running} running`,
        `workers: ${formatWorkerStates(cell)}`,
        `most that one worker has free of each: ${formatMaxFree(cell)}`,
    ];
};

const explain = (task: TaskResponse, name: string | undefined, cell: Cell | undefined): CommandResult => {
    const location = task.worker ? ` on ${task.worker}` : "";
    const head = `${task.key} (pool ${task.pool}): ${task.state}${location}, attempt ${task.attempt}`;
    const reason = `reason: ${task.reason || "none given"}`;
    return {
        code: task.code,
        json: { task, homeCell: name, cell },
        text: [head, reason, ...describeCell(name, cell)].join("\n"),
    };
};

/** `why`: explains where a task was placed or why it is waiting, with the state of its home cell. */
export class WhyCommand extends Command {
    override readonly name = "why";
    override readonly summary = "Explain why a task is where it is, or why it waits.";
    override readonly options = poolOption;
    override readonly operands = "KEY";
    override readonly operandCount = [1, 1] as const;

    static create(): WhyCommand {
        return new WhyCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const task = await fetchTask(context);
        if (task.isErr()) {
            return Err(task.error);
        }
        // The task's reason is shown even if the state of its cell cannot be read.
        const config = await context.client.get("/v1/config", ConfigDocument);
        const cells = await context.client.get("/v1/cells", CellsResponse);
        const name = config.isOk() ? findHomeCell(config.value, task.value) : undefined;
        const cell = cells.isOk() ? cells.value.cells.find(item => item.cell === name) : undefined;
        return Ok(explain(task.value, name, cell));
    }
}
