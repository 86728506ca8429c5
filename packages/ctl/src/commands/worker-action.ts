import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { CellsResponse } from "../responses/cells-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { OptionKind } from "../option-kind.js";

const summaries = {
    drain: "Start nothing new on a worker; running work finishes.",
    undrain: "Use a drained worker again.",
    quarantine: "Start nothing new on a worker because work fails on it.",
    release: "End a worker's quarantine.",
} as const;

const findCell = async (context: CommandContext, worker: string): Promise<Result<string, CodedError>> => {
    const response = await context.client.get("/v1/cells", CellsResponse);
    return response.andThen(({ cells }) => {
        const cell = cells.find(({ workers }) => workers.some(({ name }) => name === worker));
        const message = `Expected the name of a worker of a cell, got "${worker}". "cells --workers" lists them; --cell names a cell.`;
        return cell === undefined ? Err(CodedError.create(ResultCode.BadRequest, message)) : Ok(cell.cell);
    });
};

/** `drain`, `undrain`, `quarantine` and `release`: sends the command of that name for one worker. */
export class WorkerActionCommand extends Command {
    override readonly summary: string;
    override readonly options = {
        cell: {
            kind: OptionKind.Text,
            placeholder: "CELL",
            description: "The worker's cell, such as herning-a/0. Default: looked up by the worker's name.",
        },
    };
    override readonly operands = "WORKER";
    override readonly operandCount = [1, 1] as const;

    private constructor(override readonly name: keyof typeof summaries) {
        super();
        this.summary = summaries[name];
    }

    static create(name: keyof typeof summaries): WorkerActionCommand {
        return new WorkerActionCommand(name);
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const worker = context.operands[0] ?? "";
        const cellOption = context.options.text("cell");
        const cell = cellOption === undefined ? await findCell(context, worker) : Ok(cellOption);
        if (cell.isErr()) {
            return Err(cell.error);
        }
        const path = `/v1/workers/${encodeURIComponent(worker)}/${this.name}`;
        const request = { method: "POST", path, body: { cell: cell.value }, idempotent: true } as const;
        const response = await context.client.query(request, Schema.Unknown);
        return response.map(() => ({
            code: ResultCode.Answered,
            json: { worker, cell: cell.value, command: this.name },
            text: `${worker} (${cell.value}): ${this.name} is recorded.`,
        }));
    }
}
