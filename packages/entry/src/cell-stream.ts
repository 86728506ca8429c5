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
import { PendingCalls } from "./pending-calls.js";

type Body = NonNullable<MessageInitShape<typeof AttachRequestSchema>["body"]>;

/** Bidirectional stream to the owner of one cell. Cannot be used again after the stream has ended. */
export class CellStream {
    private readonly outgoing = MessageQueue.create<AttachRequest>();
    private readonly pendingTaskCalls = PendingCalls.create<TaskReply>();
    private readonly pendingCellCalls = PendingCalls.create<CellReply>();

    private constructor(private readonly onShares: (update: ShareUpdate) => void) {}

    static create(onShares: (update: ShareUpdate) => void): CellStream {
        return new CellStream(onShares);
    }

    /** Sends a message that has no reply. */
    send(body: Body): void {
        this.outgoing.push(create(AttachRequestSchema, { body }));
    }

    /** Sends a task message and waits for its reply; rejects with a `CodedError`. */
    callTask(makeBody: (requestId: number) => Body, timeoutMs: number): Promise<TaskReply> {
        return this.call(this.pendingTaskCalls, makeBody, timeoutMs);
    }

    /** Sends an operator's message and waits for its reply; rejects with a `CodedError`. */
    callCell(makeBody: (requestId: number) => Body, timeoutMs: number): Promise<CellReply> {
        return this.call(this.pendingCellCalls, makeBody, timeoutMs);
    }

    /** Runs the stream until either side ends it. Rejects when the connection fails. */
    async run(transport: Transport, signal: AbortSignal): Promise<void> {
        const client = createClient(CellService, transport);
        try {
            for await (const response of client.attach(this.outgoing.messages(), { signal })) {
                this.handleResponse(response);
            }
        } finally {
            this.outgoing.end();
            this.pendingTaskCalls.failAll();
            this.pendingCellCalls.failAll();
        }
    }

    close(): void {
        this.outgoing.end();
    }

    private handleResponse({ body }: AttachResponse): void {
        switch (body.case) {
            case "shares":
                this.onShares(body.value);
                break;
            case "task":
                this.pendingTaskCalls.complete(body.value.requestId, body.value);
                break;
            case "cell":
                this.pendingCellCalls.complete(body.value.requestId, body.value);
                break;
            case undefined:
                // An owner that runs a newer version may send messages that this version does not know.
                break;
        }
    }

    private async call<T>(
        pendingCalls: PendingCalls<T>,
        makeBody: (requestId: number) => Body,
        timeoutMs: number,
    ): Promise<T> {
        const { id, reply } = pendingCalls.register();
        const timer = setTimeout(() => pendingCalls.failTimedOut(id), timeoutMs);
        this.send(makeBody(id));
        try {
            return await reply;
        } finally {
            clearTimeout(timer);
        }
    }
}
