import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CodedError } from "@samphireward/core/coded-error";
import type { ProcessLogger } from "@samphireward/core/process-logger";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import { runInBackground } from "@samphireward/core/run-in-background";
import type {
    AttachRequest,
    AttachResponse,
    Hello,
    TaskReplySchema,
    TaskSubmission,
} from "@samphireward/protocol/gen/samphireward_pb";
import { AttachResponseSchema } from "@samphireward/protocol/gen/samphireward_pb";
import { MessageQueue } from "@samphireward/protocol/message-queue";
import type { SlotAllocator } from "@samphireward/routing/slot-allocator";
import type { CellOwner } from "@samphireward/tasks/cell-owner";
import type { TaskAnswer } from "@samphireward/tasks/task-answer";
import type { Result } from "ts-results-es";
import type { CellOperations } from "./cell-operations.js";

type ResponseBody = NonNullable<MessageInitShape<typeof AttachResponseSchema>["body"]>;
type TaskReplyBody = MessageInitShape<typeof TaskReplySchema>;

/** Components of the owned cell that a session uses. */
interface CellSessionOptions {
    readonly owner: CellOwner;
    readonly allocator: SlotAllocator;
    readonly operations: CellOperations;
    readonly log: ProcessLogger;
}

const toTaskSpec = ({ key, pool, resources, expectedRunMs, payload }: TaskSubmission): TaskSpec => ({
    key,
    pool,
    resources: Resources.create(resources ?? {}),
    expectedRunMs,
    payload,
});

/** Session of one entry process that is attached to a cell: handles its messages in order and answers them. */
export class CellSession {
    private readonly outgoing = MessageQueue.create<AttachResponse>();

    private constructor(
        private readonly options: CellSessionOptions,
        readonly entry: string,
    ) {}

    static create(options: CellSessionOptions, hello: Hello): CellSession {
        const session = new CellSession(options, hello.entry);
        options.allocator.attach({ entry: hello.entry, report: hello.report, claims: hello.claims });
        session.sendShares();
        return session;
    }

    messages(): AsyncIterable<AttachResponse> {
        return this.outgoing.messages();
    }

    /** Ends the stream; the entry process connects to the next owner. */
    end(): void {
        this.outgoing.end();
    }

    /** Sends the entry process its slot shares, unless none may be granted now. */
    sendShares(): void {
        const update = this.options.allocator.update(this.entry);
        if (update !== undefined) {
            const shares = update.shares.map(share => ({ ...share }));
            this.send({ case: "shares", value: { ...update, shares } });
        }
    }

    handle({ body }: AttachRequest): void {
        const { log } = this.options;
        switch (body.case) {
            case "demand":
                this.options.allocator.report(this.entry, body.value);
                this.sendShares();
                return;
            case "release":
                this.options.allocator.release(this.entry);
                return;
            case "submit": {
                const accepted = this.options.owner.accept(toTaskSpec(body.value));
                runInBackground("submit", this.reply(body.value.requestId, accepted), log);
                return;
            }
            case "explain":
                this.explain(body.value);
                return;
            case "cancel":
                runInBackground(
                    "cancel",
                    this.reply(body.value.requestId, this.options.owner.cancel(body.value.key)),
                    log,
                );
                return;
            case "lookup":
                this.lookup(body.value.requestId, body.value.key);
                return;
            case "workerCommand": {
                const { requestId, worker, command } = body.value;
                runInBackground("worker command", this.command(requestId, worker, command), log);
                return;
            }
            case "cellLookup": {
                const json = JSON.stringify(this.options.operations.describe());
                const { requestId } = body.value;
                this.send({ case: "cell", value: { requestId, code: ResultCode.Answered, json } });
                return;
            }
            case "hello":
            case undefined:
                // A second hello, or a message of a newer version, is ignored.
                return;
        }
    }

    private async reply(requestId: number, answer: Promise<Result<TaskAnswer, CodedError>>): Promise<void> {
        const result = await answer;
        if (result.isOk()) {
            this.sendTask({ requestId, code: result.value.code, status: { ...result.value.status } });
        } else {
            this.sendTask({ requestId, code: result.error.code, message: result.error.message });
        }
    }

    private explain(submission: TaskSubmission): void {
        const { requestId } = submission;
        const explained = this.options.operations.explain(toTaskSpec(submission));
        const { code, value } = explained.isOk()
            ? { code: ResultCode.Answered, value: explained.value }
            : { code: explained.error.code, value: { message: explained.error.message } };
        this.send({ case: "cell", value: { requestId, code, json: JSON.stringify(value) } });
    }

    private lookup(requestId: number, key: string): void {
        const status = this.options.owner.status(key);
        if (status === undefined) {
            this.sendTask({ requestId, code: ResultCode.TaskUnknown, message: `No task "${key}" is known` });
        } else {
            this.sendTask({ requestId, code: ResultCode.Answered, status: { ...status } });
        }
    }

    private async command(requestId: number, worker: string, command: string): Promise<void> {
        const code = await this.options.operations.commandWorker(worker, command);
        this.send({ case: "cell", value: { requestId, code, json: "{}" } });
    }

    private sendTask(value: TaskReplyBody): void {
        this.send({ case: "task", value });
    }

    private send(body: ResponseBody): void {
        this.outgoing.push(create(AttachResponseSchema, { body }));
    }
}
