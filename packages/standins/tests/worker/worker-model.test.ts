import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import t from "tap";
import { WorkerModel } from "../../src/worker/worker-model.js";

const cell = "herning-a/0";
const capacity = Resources.create({ processors: 4, memoryMb: 4000, accelerators: 1 });
const small = { processors: 1, memoryMb: 1000, accelerators: 0 };

const create = () => {
    const clock = ManualClock.create();
    const model = WorkerModel.create(capacity, clock);
    const start = (
        key: string,
        attempt: number,
        more: { epoch?: number; need?: Partial<typeof small> } = {},
    ) =>
        model.start({
            cell,
            epoch: more.epoch ?? 1,
            key,
            attempt,
            resources: Resources.create({ ...small, ...more.need }),
            leaseMs: 6000,
            payload: { runMs: 5000 },
        });
    return { clock, model, start };
};

const errorCode = (result: Result<unknown, ResultCode>): ResultCode | undefined =>
    result.isErr() ? result.error : undefined;

// Guards against a stand-in that accepts more than the protocol allows and so hides a fault of the cell owner.
t.test("starts are fenced by epoch and attempt and limited by capacity", t => {
    const { model, start } = create();
    const cases: [name: string, run: () => Result<unknown, ResultCode>, code: ResultCode | undefined][] = [
        ["a first start", () => start("k", 1), undefined],
        ["a repeated attempt", () => start("k", 1), ResultCode.StaleAttempt],
        [
            "a start that exceeds the processors",
            () => start("p", 1, { need: { processors: 3.5 } }),
            ResultCode.CapacityExceeded,
        ],
        [
            "a start that exceeds the memory",
            () => start("p", 1, { need: { memoryMb: 3001 } }),
            ResultCode.CapacityExceeded,
        ],
        [
            "a start that exceeds the accelerators",
            () => start("p", 1, { need: { accelerators: 2 } }),
            ResultCode.CapacityExceeded,
        ],
        ["a start of an attempt that was refused before", () => start("p", 1), undefined],
        ["a higher epoch", () => model.announceEpoch(cell, 3), undefined],
        ["a start of a lower epoch", () => start("q", 1, { epoch: 2 }), ResultCode.StaleEpoch],
        ["a renewal of a lower epoch", () => model.renew(cell, 2, 6000, []), ResultCode.StaleEpoch],
        [
            "a stop of a lower epoch",
            () => model.stop(cell, 2, { key: "k", attempt: 1 }),
            ResultCode.StaleEpoch,
        ],
        ["an acknowledgement of a lower epoch", () => model.acknowledge(cell, 2, []), ResultCode.StaleEpoch],
        ["another cell's epoch", () => model.announceEpoch("herning-a/1", 1), undefined],
        [
            "a stop of an attempt that never ran",
            () => model.stop(cell, 3, { key: "s", attempt: 2 }),
            undefined,
        ],
        ["a start after its stop", () => start("s", 2, { epoch: 3 }), ResultCode.StaleAttempt],
        [
            "a checkpoint of a task that is not running",
            () => model.checkpoint(cell, 3, { key: "s", attempt: 2 }),
            ResultCode.TaskUnknown,
        ],
    ];
    for (const [name, run, code] of cases) {
        t.equal(errorCode(run()), code, name);
    }
    t.equal(model.stats.overcommitRefusals, 3);
    t.equal(model.stats.concurrentDuplicates, 0);
    start("k", 2, { epoch: 3 });
    t.equal(model.stats.concurrentDuplicates, 1);
    t.end();
});

// Guards against leases, outcomes and checkpoints that differ from the protocol.
t.test("attempts end by the worker's clock and are reported until acknowledged", t => {
    const { clock, model, start } = create();
    start("done", 1);
    start("lapsed", 1);
    model.throttle(cell, 1, { key: "lapsed", attempt: 1 }, 0.5);
    clock.advance(4000);
    t.equal(model.checkpoint(cell, 1, { key: "lapsed", attempt: 1 }).unwrap(), "lapsed#1@2000");
    t.strictSame(
        model
            .renew(cell, 1, 6000, [
                { key: "done", attempt: 1 },
                { key: "x", attempt: 1 },
            ])
            .unwrap(),
        [{ key: "x", attempt: 1 }],
    );
    clock.advance(3000);
    const results = () => model.outcomes().map(({ key, result }) => `${key} ${result}`);
    t.strictSame(results(), ["done finished", "lapsed lease-lapsed"]);
    model.acknowledge(cell, 1, [{ key: "done", attempt: 1 }]);
    t.strictSame(results(), ["lapsed lease-lapsed"]);
    const resumed = { cell, epoch: 1, key: "lapsed", attempt: 2, resources: Resources.none, leaseMs: 6000 };
    model.start({ ...resumed, payload: { runMs: 5000 }, checkpoint: "lapsed#1@2000" });
    clock.advance(3000);
    t.strictSame(results(), ["lapsed lease-lapsed", "lapsed finished"], "only the remaining work ran");
    model.crash();
    t.strictSame([model.outcomes().length, model.epoch], [0, 0]);
    t.end();
});
