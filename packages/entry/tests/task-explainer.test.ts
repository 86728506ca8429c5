import { create } from "@bufbuild/protobuf";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import { Tables } from "@samphireward/core/tables";
import type { CellReply } from "@samphireward/protocol/gen/samphireward_pb";
import { CellReplySchema } from "@samphireward/protocol/gen/samphireward_pb";
import t from "tap";
import { TaskExplainer } from "../src/task-explainer.js";

const tables = Tables.create(
    "[routes]",
    `
[links]
[zones]
a = { region = "north", cells = 1 }
[teams.plans]
quota = { processors = 30, memoryMb = 300, accelerators = 0 }
[pools.cutting]
class = "batch"
team = "plans"
zones = ["a"]
interferenceClass = "cutting"
`,
).unwrap();

const resources = { processors: 1, memoryMb: 10, accelerators: 0 };
const question = { pool: "cutting", task: { key: "k1", resources, expectedRunMs: 500 } };
const silent = CodedError.create(ResultCode.OwnerUnreachable, "The cell's owner did not answer in time");
const explained = { job: "k1", cell: "a/0", outcome: "starts" };

/** Asks with an owner that answers so; undefined if none is connected. */
const ask = async (
    body: unknown,
    answer: { readonly code: ResultCode; readonly value: unknown } | CodedError | undefined,
): Promise<unknown> => {
    const callCell = (makeBody: (requestId: number) => unknown): Promise<CellReply> => {
        t.match(makeBody(7), {
            case: "explain",
            value: { requestId: 7, key: "k1", pool: "cutting", resources },
        });
        return answer === undefined || answer instanceof CodedError
            ? Promise.reject(answer ?? silent)
            : Promise.resolve(
                  create(CellReplySchema, { code: answer.code, json: JSON.stringify(answer.value) }),
              );
    };
    const streamTo = (cell: string): { callCell: typeof callCell } | undefined =>
        cell === "a/0" && answer !== undefined ? { callCell } : undefined;
    try {
        return (await TaskExplainer.create({ tables: () => tables, streamTo }).answer(body)).body;
    } catch (err) {
        return err;
    }
};

// Guards against an operator who cannot tell why there is no explanation, and against "may have run" for a question.
t.test("each failure to explain has a code of its own", async t => {
    const answered = { code: ResultCode.Answered, value: explained };
    const busy = { code: ResultCode.CellOwnerBusy, value: { message: "busy" } };
    t.match(await ask(question, answered), { code: ResultCode.Answered, ...explained });
    t.match(await ask(question, busy), { code: ResultCode.CellOwnerBusy, message: "busy" });
    t.match(await ask(question, undefined), { code: ResultCode.NoCellOwner });
    t.match(await ask(question, silent), { code: ResultCode.CellOwnerUnreachable, message: /a\/0.*in time/ });
    t.match(await ask({ ...question, pool: "none" }, answered), { code: ResultCode.UnknownRoute });
    t.match(await ask({ ...question, task: { key: "" } }, answered), { code: ResultCode.BadRequest });
    t.match(await ask({ pool: "cutting", task: { key: "k1" } }, answered), {
        code: ResultCode.BadRequest,
        message: /no taskDefault/,
    });
    t.match(await ask("question", answered), { code: ResultCode.BadRequest });
});
