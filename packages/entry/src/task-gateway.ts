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
/** Timeout of one attempt, so that time remains to ask the successor of a silent owner. */
const AttemptTimeoutMs = 2_500;

type MakeBody = Parameters<CellStream["callTask"]>[0];

/** One operation on a task, retried until it is answered. */
interface Operation {
    readonly pool: Pool;
    readonly key: string;
    readonly deadlineMs: number;
    readonly makeBody: MakeBody;
    readonly isSubmission: boolean;
}

interface TaskGatewayOptions {
    readonly clock: Clock;
    readonly tables: () => Tables | undefined;
    readonly streamTo: (cell: string) => Pick<CellStream, "callTask"> | undefined;
}

/**
 * Sends task operations to the owner of the task's home cell. All of them are idempotent by task key, so they
 * are retried after a lost stream until the deadline.
 */
export class TaskGateway {
    private constructor(private readonly options: TaskGatewayOptions) {}

    static create(options: TaskGatewayOptions): TaskGateway {
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
        return this.callUntilAnswered({ pool, key, deadlineMs, makeBody, isSubmission: true });
    }

    lookup(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        const makeBody: MakeBody = requestId => ({ case: "lookup", value: { requestId, key } });
        return this.callUntilAnswered({ pool, key, deadlineMs, makeBody, isSubmission: false });
    }

    cancel(pool: Pool, key: string, deadlineMs: number): Promise<TaskReply> {
        const makeBody: MakeBody = requestId => ({ case: "cancel", value: { requestId, key } });
        return this.callUntilAnswered({ pool, key, deadlineMs, makeBody, isSubmission: false });
    }

    /**
     * Retries until a conclusive reply. At the deadline, rejects with `OwnerUnreachable` when an attempt got no reply,
     * and with `NoCellOwner` otherwise. An owner that has just lost the cell replies `NoCellOwner`; the next owner is
     * asked then. After an attempt without a reply, a refusal of a submission is not conclusive, because the earlier
     * attempt may have been recorded.
     */
    private async callUntilAnswered(operation: Operation): Promise<TaskReply> {
        const { clock, streamTo, tables } = this.options;
        const deadlineAtMs = clock.nowMs() + operation.deadlineMs;
        let lastError = CodedError.create(ResultCode.NoCellOwner, "No scheduler owns the task's cell now");
        let hasUnansweredAttempt = false;
        while (clock.nowMs() < deadlineAtMs) {
            const cell = String(tables()?.homeCell(operation.pool, operation.key) ?? "");
            const stream = streamTo(cell);
            if (stream !== undefined) {
                try {
                    const timeoutMs = Math.min(AttemptTimeoutMs, deadlineAtMs - clock.nowMs());
                    const reply = await stream.callTask(operation.makeBody, timeoutMs);
                    const isConclusive =
                        !operation.isSubmission || !hasUnansweredAttempt || !isRefusal(reply);
                    if (isConclusive && reply.code !== ResultCode.NoCellOwner) {
                        return reply;
                    }
                } catch (err) {
                    hasUnansweredAttempt = true;
                    lastError = err as CodedError;
                }
            }
            await sleep(RetryIntervalMs);
        }
        throw lastError;
    }
}

const isRefusal = ({ code }: TaskReply): boolean =>
    describeCode(code as ResultCode).outcome === Outcome.NotRun;
