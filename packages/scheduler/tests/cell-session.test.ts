import { create } from "@bufbuild/protobuf";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import { AttachRequestSchema, HelloSchema } from "@samphireward/protocol/gen/samphireward_pb";
import type { CellReply } from "@samphireward/protocol/gen/samphireward_pb";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { CellSession } from "../src/cell-session.js";

/** Sends a question to a session whose cell answers so, and returns the reply. */
const ask = async (
    answer: Result<unknown, CodedError>,
): Promise<{ reply: CellReply | undefined; asked: TaskSpec[] }> => {
    const asked: TaskSpec[] = [];
    const options = {
        allocator: { attach: () => undefined, update: () => undefined },
        operations: {
            explain: (spec: TaskSpec) => {
                asked.push(spec);
                return answer;
            },
        },
    };
    const session = CellSession.create(
        options as unknown as Parameters<typeof CellSession.create>[0],
        create(HelloSchema, { entry: "entry-1" }),
    );
    const resources = { processors: 2, memoryMb: 100, accelerators: 0 };
    const value = { requestId: 7, key: "k1", pool: "cutting", resources, expectedRunMs: 500, payload: "p" };
    session.handle(create(AttachRequestSchema, { body: { case: "explain", value } }));
    session.end();
    let reply: CellReply | undefined;
    for await (const { body } of session.messages()) {
        reply = body.case === "cell" ? body.value : reply;
    }
    return { reply, asked };
};

// Guards against a question that is submitted, loses a field of its task, or gets no reply.
t.test("a question of an entry process is answered by the cell's owner", async t => {
    const { reply, asked } = await ask(Ok({ outcome: "starts" }));
    t.match(reply, { requestId: 7, code: ResultCode.Answered, json: '{"outcome":"starts"}' });
    t.match(asked, [
        { key: "k1", pool: "cutting", resources: { processors: 2 }, expectedRunMs: 500, payload: "p" },
    ]);
    const refused = await ask(Err(CodedError.create(ResultCode.CellOwnerBusy, "busy")));
    t.match(refused.reply, { requestId: 7, code: ResultCode.CellOwnerBusy, json: '{"message":"busy"}' });
});
