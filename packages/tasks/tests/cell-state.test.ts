import { isDeepStrictEqual } from "node:util";
import { Resources } from "@samphireward/core/resources";
import * as fc from "fast-check";
import t from "tap";
import { CellState } from "../src/cell-state.js";
import { CellStateCodec } from "../src/cell-state-codec.js";
import { LossVerdict } from "../src/loss-verdict.js";
import type { StateRow } from "../src/state-row.js";
import type { Transition } from "../src/transition.js";
import { TransitionCodec } from "../src/transition-codec.js";
import type { TransitionRow } from "../src/transition-row.js";

const spec = (key: string) => ({
    key,
    pool: "cutting",
    resources: Resources.create({ processors: 0.5, memoryMb: 100 }),
    expectedRunMs: 1000,
    payload: '{"runMs":1}',
});
const wallMs = 5;
const accepted: Transition = { kind: "accepted", spec: spec("k"), wallMs };
const starting = (attempt: number, worker = "w-0"): Transition => ({
    kind: "starting",
    key: "k",
    attempt,
    worker,
});
const running = (attempt: number): Transition => ({ kind: "running", key: "k", attempt });
const checkpointing = (attempt: number): Transition => ({ kind: "checkpointing", key: "k", attempt });
const released = (attempt: number, checkpoint?: string): Transition => ({
    kind: "released",
    key: "k",
    attempt,
    wallMs,
    ...(checkpoint === undefined ? {} : { checkpoint }),
});
const finished = (attempt: number): Transition => ({
    kind: "finished",
    key: "k",
    attempt,
    output: "o",
    wallMs,
});
const failed = (attempt: number): Transition => ({ kind: "failed", key: "k", attempt, error: "e", wallMs });
const cancelled: Transition = { kind: "cancelled", key: "k", wallMs };
const failOn = (worker: string, attempt: number): Transition[] => [
    starting(attempt, worker),
    failed(attempt),
];

const loss = (attempt: number, worker: string, verdict: LossVerdict): Transition => ({
    kind: "attempt-loss",
    key: "k",
    attempt,
    worker,
    verdict,
    ranMs: 100,
});
const crashOn = (worker: string, attempt: number): Transition[] => [
    starting(attempt, worker),
    loss(attempt, worker, "lost"),
    released(attempt),
    loss(attempt, worker, "crashed"),
];
const givenUp: Transition = { kind: "given-up", key: "k", wallMs };

const replay = (transitions: readonly Transition[]): CellState => {
    const state = CellState.create();
    transitions.forEach(transition => state.apply(transition));
    return state;
};

// Guards against stale, repeated, late and reordered transitions that change a task, and against an end that
// is lost.
t.test("a transition applies only in a state that allows it", t => {
    const cases: [name: string, transitions: Transition[], state: string, attempt: number][] = [
        ["a repeated acceptance changes nothing", [accepted, starting(1), accepted], "starting", 1],
        ["a lower attempt does not start", [accepted, starting(2), released(2), starting(1)], "queued", 2],
        [
            "a start of a running task changes nothing",
            [accepted, starting(1), starting(2, "w-1")],
            "starting",
            1,
        ],
        [
            "a stale finish changes nothing",
            [accepted, starting(1), released(1), starting(2), finished(1)],
            "starting",
            2,
        ],
        [
            "a finish after the lease lapsed counts",
            [accepted, starting(1), released(1), finished(1)],
            "finished",
            1,
        ],
        ["a finish after the end changes nothing", [accepted, cancelled, finished(0)], "cancelled", 0],
        [
            "a stale release changes nothing",
            [accepted, starting(1), released(1), starting(2), released(1)],
            "starting",
            2,
        ],
        [
            "a late start confirmation changes nothing",
            [accepted, starting(1), released(1), running(1)],
            "queued",
            1,
        ],
        [
            "an evicted task waits with its checkpoint",
            [accepted, starting(1), running(1), checkpointing(1), released(1, "c")],
            "evicted",
            1,
        ],
        ["a queued task is cancelled at once", [accepted, cancelled], "cancelled", 0],
        ["a running task is cancelled after its stop", [accepted, starting(1), cancelled], "starting", 1],
        [
            "the stop completes the cancellation",
            [accepted, starting(1), cancelled, released(1)],
            "cancelled",
            1,
        ],
        [
            "a finish does not undo a cancellation",
            [accepted, starting(1), cancelled, finished(1)],
            "cancelled",
            1,
        ],
        [
            "a failure does not undo a cancellation",
            [accepted, starting(1), cancelled, failed(1)],
            "cancelled",
            1,
        ],
        [
            "a loss ends no attempt",
            [accepted, starting(1), running(1), loss(1, "w-0", "restarted")],
            "running",
            1,
        ],
        [
            "a waiting task is given up",
            [accepted, ...crashOn("a", 1), ...crashOn("b", 2), givenUp],
            "failed",
            2,
        ],
        ["a task that runs again is not given up", [accepted, starting(1), givenUp], "starting", 1],
        ["two failed workers are not enough", [accepted, ...failOn("a", 1), ...failOn("b", 2)], "queued", 2],
        [
            "one worker three times is not enough",
            [accepted, ...failOn("a", 1), ...failOn("a", 2), ...failOn("a", 3)],
            "queued",
            3,
        ],
        [
            "three failed workers end the task",
            [accepted, ...failOn("a", 1), ...failOn("b", 2), ...failOn("c", 3)],
            "failed",
            3,
        ],
    ];
    for (const [name, transitions, state, attempt] of cases) {
        const record = replay(transitions).get("k");
        t.strictSame([record?.state, record?.attempt], [state, attempt], name);
    }
    t.equal(
        replay([accepted, starting(1), released(1, "c"), starting(2), released(2)]).get("k")?.checkpoint,
        "c",
    );
    t.equal(
        replay([accepted, { kind: "forgotten", keys: ["k"] }]).get("k")?.state,
        "queued",
        "only ended tasks are dropped",
    );
    t.equal(replay([accepted, cancelled, { kind: "forgotten", keys: ["k"] }]).get("k"), undefined);
    t.same([...replay([cancelled]).tombstones], [["k", wallMs]]);
    t.same([...replay([cancelled, { kind: "forgotten", keys: ["k"] }]).tombstones], []);
    t.same([...replay([accepted, cancelled]).tombstones], [], "a known task leaves no tombstone");
    const acceptedByEarlierVersion = replay([cancelled, accepted]);
    t.equal(acceptedByEarlierVersion.get("k")?.state, "queued", "what the log has accepted is not lost");
    t.same([...acceptedByEarlierVersion.tombstones], []);
    t.end();
});

// Guards against losses that are noted for attempts that have ended, and against verdicts without a loss.
t.test("losses follow the attempts and their verdicts", t => {
    const cases: [name: string, transitions: Transition[], verdicts: string[]][] = [
        ["a loss of an attempt that has ended", [starting(1), released(1), loss(1, "w-0", "lost")], []],
        ["a crash without a loss", [starting(1), loss(1, "w-0", "crashed")], []],
        ["a crash", crashOn("w-0", 1), ["crashed"]],
        [
            "a lease that ends after the restart was noted",
            [starting(1), loss(1, "w-0", "restarted"), loss(1, "w-0", "lost")],
            ["restarted"],
        ],
        ["a cut", [...crashOn("w-0", 1), loss(1, "w-0", "cleared")], []],
        [
            "a later loss keeps an earlier one",
            [...crashOn("w-0", 1), ...crashOn("w-1", 2)],
            ["crashed", "crashed"],
        ],
        [
            "a long run clears all",
            [...crashOn("w-0", 1), starting(2), running(2), loss(2, "w-1", "trusted")],
            [],
        ],
        ["a long run that has ended", [...crashOn("w-0", 1), loss(1, "w-0", "trusted")], ["crashed"]],
    ];
    for (const [name, transitions, verdicts] of cases) {
        const state = replay([accepted, ...transitions]);
        const losses = state.get("k")?.losses ?? [];
        t.strictSame(
            losses.map(({ verdict }) => verdict),
            verdicts,
            name,
        );
        t.equal(state.lossy.has("k"), verdicts.length > 0, name);
    }
    t.end();
});

// Guards against a mixed update in which an earlier version fails on the log, or takes a task that was given up for one
// that waits.
t.test("earlier versions read losses as rows that they know", t => {
    const transitions = [accepted, ...crashOn("a", 1), ...crashOn("b", 2), givenUp];
    const columnsOfEarlierVersions = new Map([
        [2, 3],
        [7, 3],
    ]);
    const rows = transitions.map(each => TransitionCodec.toRow(each));
    const cut = rows.map(row => row.slice(0, columnsOfEarlierVersions.get(row[0] as number)));
    const state = replay(cut.map(row => TransitionCodec.fromRow(row)));
    t.equal(state.get("k")?.state, "cancelled");
    t.ok(state.ended.has("k"));
    t.end();
});

const key = fc.constantFrom("a", "b", "c");
const attempt = fc.integer({ min: 1, max: 4 });
const worker = fc.constantFrom("w-0", "w-1", "w-2");
const text = fc.string({ maxLength: 5 });
const time = fc.nat(1000);
const transition: fc.Arbitrary<Transition> = fc.oneof(
    fc.record({ kind: fc.constant("accepted" as const), spec: key.map(spec), wallMs: time }),
    fc.record({ kind: fc.constant("starting" as const), key, attempt, worker }),
    fc.record({ kind: fc.constantFrom("running" as const, "checkpointing" as const), key, attempt }),
    fc.record({ kind: fc.constant("released" as const), key, attempt, wallMs: time }),
    fc.record({ kind: fc.constant("released" as const), key, attempt, wallMs: time, checkpoint: text }),
    fc.record({ kind: fc.constant("finished" as const), key, attempt, wallMs: time, output: text }),
    fc.record({ kind: fc.constant("failed" as const), key, attempt, wallMs: time, error: text }),
    fc.record({ kind: fc.constant("cancelled" as const), key, wallMs: time }),
    fc.record({ kind: fc.constant("given-up" as const), key, wallMs: time }),
    fc.record({
        kind: fc.constant("attempt-loss" as const),
        key,
        attempt,
        worker,
        verdict: fc.constantFrom(...Object.values(LossVerdict)),
        ranMs: time,
    }),
    fc.record({ kind: fc.constant("forgotten" as const), keys: fc.array(key) }),
    fc.record({
        kind: fc.constant("worker-mode" as const),
        worker,
        mode: fc.constantFrom("open", "drained", "quarantined"),
    }),
);

// Guards against a log or snapshot from which a new owner reads a different state than was written.
t.test("rows preserve every transition and the whole state", t => {
    const property = fc.property(fc.array(transition, { maxLength: 40 }), transitions => {
        const rows = JSON.stringify(transitions.map(each => TransitionCodec.toRow(each)));
        const decoded = (JSON.parse(rows) as TransitionRow[]).map(row => TransitionCodec.fromRow(row));
        const state = replay(transitions);
        const items = JSON.stringify(CellStateCodec.toItems(state));
        const restored = CellStateCodec.fromItems(JSON.parse(items) as StateRow[]);
        const isSame = (a: CellState, b: CellState): boolean =>
            isDeepStrictEqual(
                [a.tasks, [...a.ended], a.workerModes, [...a.tombstones]],
                [b.tasks, [...b.ended], b.workerModes, [...b.tombstones]],
            );
        return isSame(replay(decoded), state) && isSame(restored, state);
    });
    fc.assert(property, { seed: 7, numRuns: 2000 });
    t.end();
});
