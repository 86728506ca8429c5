import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { CellsResponse } from "../responses/cells-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatTable } from "../format-table.js";
import { OptionKind } from "../option-kind.js";

type Cell = CellsResponse["cells"][number];

const cellTable = (cells: readonly Cell[]): string =>
    formatTable(
        ["CELL", "OWNER", "EPOCH", "WORKERS", "QUEUED", "RUNNING"],
        cells.map(cell => [
            cell.cell,
            cell.owner || "(none)",
            cell.epoch,
            cell.workers.length,
            cell.queued,
            cell.running,
        ]),
    );

const workerTable = (cells: readonly Cell[]): string =>
    formatTable(
        ["CELL", "WORKER", "RACK", "STATE", "TASKS", "CORES", "MEMORY MB", "ACCELERATORS"],
        cells.flatMap(({ cell, workers }) =>
            workers.map(({ name, rack, state, tasks, capacity, reserved }) => [
                cell,
                name,
                rack,
                state,
                tasks,
                `${reserved.processors} of ${capacity.processors}`,
                `${reserved.memoryMb} of ${capacity.memoryMb}`,
                `${reserved.accelerators} of ${capacity.accelerators}`,
            ]),
        ),
    );

/** `cells`: lists each cell with its owner, or each worker with its reserved resources. */
export class CellsCommand extends Command {
    override readonly name = "cells";
    override readonly summary = "List the cells with their owners.";
    override readonly options = {
        workers: {
            kind: OptionKind.Flag,
            placeholder: "",
            description: "List each worker with its state and what is reserved of its capacity.",
        },
    };

    static create(): CellsCommand {
        return new CellsCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const response = await context.client.get("/v1/cells", CellsResponse);
        return response.map(({ cells }) => ({
            code: ResultCode.Answered,
            json: { cells },
            text: context.options.flag("workers") ? workerTable(cells) : cellTable(cells),
        }));
    }
}
