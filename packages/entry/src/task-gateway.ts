import { CodedError } from "@samphireward/core/coded-error";
import type { Clock } from "@samphireward/core/clock";
import type { Pool } from "@samphireward/core/pool";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { Tables } from "@samphireward/core/tables";
import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";
import type { CellStream } from "./cell-stream.js";

const RetryIntervalMs = 50;
/** One attempt is given up after this time, so that a silent owner leaves time for its successor. */
const AttemptTimeoutMs = 2_500;

interface GatewayOptions {
    readonly clock: Clock;
    readonly tables: () => Tables | undefined;
    readonly streamTo: (cell: string) => CellStream | undefined;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

/**
 * Sends task operations to the owner of the task's home cell. All of them are idempotent by task key, so they
 * are repeated after a lost stream until the deadline.
 */
export class TaskGateway {
    private constructor(private readonly options: GatewayOptions) {}

    static create(options: GatewayOptions): TaskGateway {
        return new TaskGateway(options);
    }

    submit(pool: Pool, spec: TaskSpec, deadlineMs: number): Promise<TaskReply> {
        const { key, expectedRunMs, payload } = spec;
        const { processors, memoryMb, accelerators } = spec.resources;
        const resources = { processors, memoryMb, accelerators };
        return this.repeat(pool, key, deadlineMs, (stream, timeoutMs) =>
            stream.callTask(
                requestId => ({
                    case: "submit",
                    value: { requestId, key, pool: pool.name, resources, expectedRunMs, payload },
                }),
                timeoutMs,
            ),
        );
    }

    lookup(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        return this.repeat(pool, key, deadlineMs, (stream, timeoutMs) =>
            stream.callTask(requestId => ({ case: "lookup", value: { requestId, key } }), timeoutMs),
        );
    }

    cancel(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        return this.repeat(pool, key, deadlineMs, (stream, timeoutMs) =>
            stream.callTask(requestId => ({ case: "cancel", value: { requestId, key } }), timeoutMs),
        );
    }

    /** Rejects with `NoCellOwner` when nothing was sent, with `OwnerUnreachable` when something was. */
    private async repeat(
        pool: Pool,
        key: string,
        deadlineMs: number,
        attempt: (stream: CellStream, timeoutMs: number) => Promise<TaskReply>,
    ): Promise<TaskReply> {
        const { clock, streamTo, tables } = this.options;
        const endMs = clock.nowMs() + deadlineMs;
        let failure = CodedError.create(ResultCode.NoCellOwner, "No scheduler owns the task's cell now");
        while (clock.nowMs() < endMs) {
            const cell = String(tables()?.homeCell(pool, key) ?? "");
            const stream = streamTo(cell);
            if (stream !== undefined) {
                try {
                    return await attempt(stream, Math.min(AttemptTimeoutMs, endMs - clock.nowMs()));
                } catch (err) {
                    failure = err as CodedError;
                }
            }
            await sleep(RetryIntervalMs);
        }
        throw failure;
    }
}
