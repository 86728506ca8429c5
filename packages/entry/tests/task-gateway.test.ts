import { create } from "@bufbuild/protobuf";
import { CodedError } from "@samphireward/core/coded-error";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import { SystemClock } from "@samphireward/core/system-clock";
import { Tables } from "@samphireward/core/tables";
import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";
import { TaskReplySchema } from "@samphireward/protocol/gen/samphireward_pb";
import t from "tap";
import { TaskGateway } from "../src/task-gateway.js";

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

const unansweredError = CodedError.create(ResultCode.OwnerUnreachable, "The stream ended");

/** Gives the answers in turn and repeats the last one. An error stands for an attempt without an answer. */
const createScriptedStream = (answers: readonly (ResultCode | CodedError)[]) => {
    let calls = 0;
    return {
        callTask: (): Promise<TaskReply> => {
            const answer = answers[Math.min(calls, answers.length - 1)];
            calls += 1;
            return answer instanceof CodedError
                ? Promise.reject(answer)
                : Promise.resolve(create(TaskReplySchema, { code: answer ?? 0 }));
        },
    };
};

const runOperation = async (
    operation: "submit" | "lookup",
    answers: readonly (ResultCode | CodedError)[],
): Promise<number> => {
    const stream = createScriptedStream(answers);
    const gateway = TaskGateway.create({
        clock: SystemClock.create(),
        tables: () => tables,
        streamTo: () => stream,
    });
    const pool = tables.pools.get("cutting");
    if (pool === undefined) {
        throw new Error("The pool is missing");
    }
    const spec = { key: "k", pool: "cutting", resources: Resources.none, expectedRunMs: 1, payload: "" };
    const reply = operation === "submit" ? gateway.submit(pool, spec, 300) : gateway.lookup(pool, "k", 300);
    return reply.then(
        ({ code }) => code,
        (err: CodedError) => err.code,
    );
};

// Guards against "not run" for a submission of which an earlier attempt may have been recorded, and against a
// submission that is refused because its cell is changing owners.
t.test("result codes of retried operations", async t => {
    const {
        TaskAccepted,
        TaskAlreadyAccepted,
        StoreUnavailable,
        NoCellOwner,
        OwnerUnreachable,
        TaskUnknown,
    } = ResultCode;
    const cases = [
        { operation: "submit", answers: [TaskAccepted], code: TaskAccepted },
        { operation: "submit", answers: [StoreUnavailable], code: StoreUnavailable },
        { operation: "submit", answers: [unansweredError, StoreUnavailable], code: OwnerUnreachable },
        { operation: "submit", answers: [unansweredError, TaskAlreadyAccepted], code: TaskAlreadyAccepted },
        { operation: "submit", answers: [NoCellOwner, TaskAccepted], code: TaskAccepted },
        { operation: "submit", answers: [NoCellOwner], code: NoCellOwner },
        { operation: "submit", answers: [unansweredError, NoCellOwner], code: OwnerUnreachable },
        { operation: "lookup", answers: [unansweredError, TaskUnknown], code: TaskUnknown },
    ] as const;
    for (const { operation, answers, code } of cases) {
        t.equal(
            await runOperation(operation, answers),
            code,
            `${operation} ${answers.map(String).join(", ")}`,
        );
    }
});
