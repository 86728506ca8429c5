import type { CodedError } from "@samphireward/core/coded-error";
import { Resources } from "@samphireward/core/resources";
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

/** Limit of the log on one append. */
const MaxAppendBytes = 1_000_000;

// Guards against an owner that loses its cell because callers send payloads of characters that take several bytes: the
// log refuses a batch that is too large, for this owner and for each later one.
t.test("a batch stays within the limit of the log, whatever its characters", async t => {
    const payloads = ["x", "\u0001", "\ud800", "\u20ac", '"'].map(text => text.repeat(16_384));
    for (const payload of payloads) {
        const sizes: number[] = [];
        class SizeLog extends TransitionLog<Transition> {
            override append(transitions: readonly Transition[]): Promise<Result<void, CodedError>> {
                sizes.push(Buffer.byteLength(JSON.stringify(transitions)));
                return Promise.resolve(Ok(undefined));
            }
        }
        const queue = CommitQueue.create(new SizeLog(), {
            apply: () => undefined,
            onOwnershipLost: () => t.fail("the cell is lost"),
            onIdle: () => undefined,
        });
        for (let number = 0; number < 40; number++) {
            const spec = {
                key: `k${number}`,
                pool: "p",
                resources: Resources.none,
                expectedRunMs: 1,
                payload,
            };
            queue.push({ kind: "accepted", spec, wallMs: 1 });
        }
        while (queue.length > 0) {
            queue.flush();
            await new Promise(resolve => setImmediate(resolve));
        }
        t.ok(Math.max(...sizes) <= MaxAppendBytes, `${Math.max(...sizes)} bytes`);
    }
});
