import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import type { JsonResponse } from "@samphireward/core/json-response";
import { ResultCode } from "@samphireward/core/result-code";
import type { Tables } from "@samphireward/core/tables";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { CellReply } from "@samphireward/protocol/gen/samphireward_pb";
import * as Schema from "effect/Schema";
import * as SchemaParser from "effect/SchemaParser";
import type { CellStream } from "./cell-stream.js";
import { parseSubmission } from "./parse-submission.js";

const CallTimeoutMs = 2_000;

const decodeQuestion = SchemaParser.decodeUnknownResult(
    Schema.Struct({ pool: Schema.String, task: Schema.Unknown }),
    { onExcessProperty: "error" },
);

/** Dependencies of the explainer. */
interface ExplainerOptions {
    readonly tables: () => Tables | undefined;
    readonly streamTo: (cell: string) => Pick<CellStream, "callCell"> | undefined;
}

/** Answers operators who ask where a task would be placed, with the help of the owner of its home cell. */
export class TaskExplainer {
    private constructor(private readonly options: ExplainerOptions) {}

    static create(options: ExplainerOptions): TaskExplainer {
        return new TaskExplainer(options);
    }

    /** `body` names the pool, and has the task as callers submit it. Rejects with a `CodedError`. */
    async answer(body: unknown): Promise<JsonResponse> {
        const question = decodeQuestion(body);
        if (question._tag === "Failure") {
            throw CodedError.create(
                ResultCode.BadRequest,
                "Expected pool and task, the body of a submission",
            );
        }
        const { pool: name, task } = question.success;
        const tables = this.options.tables();
        const pool = tables?.pools.get(name);
        if (tables === undefined || pool === undefined) {
            throw CodedError.create(
                ResultCode.UnknownRoute,
                `pool: expected a pool of the tables, got "${name}"`,
            );
        }
        const spec = parseSubmission(pool, JSON.stringify(task ?? null));
        const cell = String(tables.homeCell(pool, spec.key));
        const { code, json } = await this.ask(cell, spec);
        const answer = JSON.parse(json) as Record<string, unknown>;
        return { status: describeCode(code as ResultCode).httpStatus, body: { code, ...answer } };
    }

    private async ask(cell: string, spec: TaskSpec): Promise<CellReply> {
        const stream = this.options.streamTo(cell);
        if (stream === undefined) {
            throw CodedError.create(ResultCode.NoCellOwner, `No owner of cell ${cell} is connected`);
        }
        const { key, pool, expectedRunMs, payload } = spec;
        const { processors, memoryMb, accelerators } = spec.resources;
        const resources = { processors, memoryMb, accelerators };
        try {
            return await stream.callCell(
                requestId => ({
                    case: "explain",
                    value: { requestId, key, pool, resources, expectedRunMs, payload },
                }),
                CallTimeoutMs,
            );
        } catch (err) {
            // The stream reports a call that may have had an effect; a question has none.
            const reason = err instanceof Error ? err.message : String(err);
            throw CodedError.create(ResultCode.CellOwnerUnreachable, `Cell ${cell}: ${reason}`);
        }
    }
}
