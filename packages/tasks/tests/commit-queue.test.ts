import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import { TransitionLog } from "@samphireward/state/transition-log";
import type { Result } from "ts-results-es";
import { Ok } from "ts-results-es";
import t from "tap";
import { CommitQueue } from "../src/commit-queue.js";
import type { Transition } from "../src/transition.js";

const transition: Transition = { kind: "forgotten", keys: ["k"] };

class FakeLog extends TransitionLog<Transition> {
    constructor(private readonly result: () => Promise<Result<void, CodedError>>) {
        super();
    }

    override append(): Promise<Result<void, CodedError>> {
        return this.result();
    }
}

// Guards against an owner that keeps a cell although its state lacks a durable transition, and against an unexpected
// error of one cell that ends the process with its other cells.
t.test("an unexpected error of a commit gives the cell up", async t => {
    const faults = {
        append: { result: () => Promise.reject(new TypeError("append")), apply: () => undefined },
        apply: {
            result: () => Promise.resolve(Ok(undefined)),
            apply: () => {
                throw new TypeError("apply");
            },
        },
    };
    for (const [name, { result, apply }] of Object.entries(faults)) {
        const losses: CodedError[] = [];
        const queue = CommitQueue.create(new FakeLog(result), {
            apply,
            onOwnershipLost: err => losses.push(err),
            onIdle: () => t.fail("the batch is not complete"),
        });
        queue.push(transition);
        queue.flush();
        await new Promise(resolve => setImmediate(resolve));
        t.match(
            losses,
            [{ code: ResultCode.InternalError, message: new RegExp(`TypeError: ${name}`) }],
            name,
        );
        const refused: unknown[] = [];
        queue.push(transition, settled => refused.push(settled.isErr() && settled.error.code));
        t.strictSame(refused, [ResultCode.NoCellOwner], "later transitions are refused");
    }
});
