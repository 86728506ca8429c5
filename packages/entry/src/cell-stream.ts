import { create } from "@bufbuild/protobuf";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import type { Transport } from "@connectrpc/connect";
import { MessageQueue } from "@samphireward/protocol/message-queue";
import type {
    AttachRequest,
    AttachResponse,
    CellReply,
    ShareUpdate,
    TaskReply,
} from "@samphireward/protocol/gen/samphireward_pb";
import { AttachRequestSchema, CellService } from "@samphireward/protocol/gen/samphireward_pb";
import { ReplyTable } from "./reply-table.js";

type Body = NonNullable<MessageInitShape<typeof AttachRequestSchema>["body"]>;

/** Reads one owner's stream for one cell; ends when the stream ends. */
export class CellStream {
    private readonly outgoing = MessageQueue.create<AttachRequest>();
    private readonly taskReplies = ReplyTable.create<TaskReply>();
    private readonly cellReplies = ReplyTable.create<CellReply>();

    private constructor(private readonly onShares: (update: ShareUpdate) => void) {}

    static create(onShares: (update: ShareUpdate) => void): CellStream {
        return new CellStream(onShares);
    }

    /** Sends a message that has no answer. */
    send(body: Body): void {
        this.outgoing.push(create(AttachRequestSchema, { body }));
    }

    /** Sends a task message and waits for its answer; rejects with a `CodedError`. */
    callTask(makeBody: (requestId: number) => Body, timeoutMs: number): Promise<TaskReply> {
        return this.call(this.taskReplies, makeBody, timeoutMs);
    }

    /** Sends an operator's message and waits for its answer; rejects with a `CodedError`. */
    callCell(makeBody: (requestId: number) => Body, timeoutMs: number): Promise<CellReply> {
        return this.call(this.cellReplies, makeBody, timeoutMs);
    }

    /** Runs the stream until either side ends it. Rejects when the connection fails. */
    async run(transport: Transport, signal: AbortSignal): Promise<void> {
        const client = createClient(CellService, transport);
        try {
            for await (const response of client.attach(this.outgoing.messages(), { signal })) {
                this.receive(response);
            }
        } finally {
            this.outgoing.end();
            this.taskReplies.failAll();
            this.cellReplies.failAll();
        }
    }

    close(): void {
        this.outgoing.end();
    }

    private receive({ body }: AttachResponse): void {
        switch (body.case) {
            case "shares":
                this.onShares(body.value);
                break;
            case "task":
                this.taskReplies.deliver(body.value.requestId, body.value);
                break;
            case "cell":
                this.cellReplies.deliver(body.value.requestId, body.value);
                break;
            case undefined:
                // A newer owner may send messages that this version does not know.
                break;
        }
    }

    private async call<T>(
        table: ReplyTable<T>,
        makeBody: (requestId: number) => Body,
        timeoutMs: number,
    ): Promise<T> {
        const { id, reply } = table.open();
        const timer = setTimeout(() => table.expire(id), timeoutMs);
        this.send(makeBody(id));
        try {
            return await reply;
        } finally {
            clearTimeout(timer);
        }
    }
}
