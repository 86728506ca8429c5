import { setTimeout as sleep } from "node:timers/promises";
import { CodedError } from "@samphireward/core/coded-error";
import type { Clock } from "@samphireward/core/clock";
import type { Pool } from "@samphireward/core/pool";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { Tables } from "@samphireward/core/tables";
import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";
import type { CellStream } from "./cell-stream.js";

const RetryIntervalMs = 50;
/** One attempt is given up after this time, so that a silent owner leaves time for its successor. */
const AttemptTimeoutMs = 2_500;

type MakeBody = Parameters<CellStream["callTask"]>[0];

/** One operation on a task, repeated until it is answered. */
interface Operation {
    readonly pool: Pool;
    readonly key: string;
    readonly deadlineMs: number;
    readonly makeBody: MakeBody;
    readonly isSubmission: boolean;
}

interface GatewayOptions {
    readonly clock: Clock;
    readonly tables: () => Tables | undefined;
    readonly streamTo: (cell: string) => Pick<CellStream, "callTask"> | undefined;
}

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
        const makeBody: MakeBody = requestId => ({
            case: "submit",
            value: { requestId, key, pool: pool.name, resources, expectedRunMs, payload },
        });
        return this.repeat({ pool, key, deadlineMs, makeBody, isSubmission: true });
    }

    lookup(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        const makeBody: MakeBody = requestId => ({ case: "lookup", value: { requestId, key } });
        return this.repeat({ pool, key, deadlineMs, makeBody, isSubmission: false });
    }

    cancel(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        const makeBody: MakeBody = requestId => ({ case: "cancel", value: { requestId, key } });
        return this.repeat({ pool, key, deadlineMs, makeBody, isSubmission: false });
    }

    /**
     * Rejects with `NoCellOwner` when nothing was sent, with `OwnerUnreachable` when something was. An owner that
     * has just lost the cell refuses; another one is asked then. After an attempt without an answer a refusal is
     * no proof for a submission any more, because the earlier attempt may have been recorded.
     */
    private async repeat(operation: Operation): Promise<TaskReply> {
        const { clock, streamTo, tables } = this.options;
        const endMs = clock.nowMs() + operation.deadlineMs;
        let failure = CodedError.create(ResultCode.NoCellOwner, "No scheduler owns the task's cell now");
        let isUnanswered = false;
        while (clock.nowMs() < endMs) {
            const cell = String(tables()?.homeCell(operation.pool, operation.key) ?? "");
            const stream = streamTo(cell);
            if (stream !== undefined) {
                try {
                    const timeoutMs = Math.min(AttemptTimeoutMs, endMs - clock.nowMs());
                    const reply = await stream.callTask(operation.makeBody, timeoutMs);
                    const isProof = !operation.isSubmission || !isUnanswered || !isRefusal(reply);
                    if (isProof && reply.code !== ResultCode.NoCellOwner) {
                        return reply;
                    }
                } catch (err) {
                    isUnanswered = true;
                    failure = err as CodedError;
                }
            }
            await sleep(RetryIntervalMs);
        }
        throw failure;
    }
}

const isRefusal = ({ code }: TaskReply): boolean =>
    describeCode(code as ResultCode).outcome === Outcome.NotRun;
