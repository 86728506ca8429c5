import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { CellScheduler } from "../src/cell-scheduler.js";
import { OrderKind } from "../src/order-kind.js";
import type { StepSpec } from "../src/step-spec.js";
import { WorthOrder } from "../src/worth-order.js";
import { cellLimits } from "./fixtures/cell-limits.js";
import { plainStep } from "./fixtures/plain-step.js";
import { queueRule } from "./fixtures/queue-rule.js";
import { Resources } from "@samphireward/core/resources";

/** A job of the table: its steps, how long ago it arrived, and its queue. */
interface Case {
    readonly id: string;
    readonly step: Partial<StepSpec>;
    readonly agoMs?: number;
    readonly queue?: string;
}

const queues = [
    { ...queueRule("desk"), priority: 1 },
    { ...queueRule("top"), priority: 0 },
];

/** Ids of the jobs in the order in which their first tasks start on one worker with room for one task at a time. */
const startOrderOf = (cases: readonly Case[]): readonly string[] => {
    const clock = ManualClock.create(1_000_000);
    const scheduler = CellScheduler.create(1, clock, cellLimits, {}, WorthOrder.create());
    scheduler.setQueues(queues);
    scheduler.expectNoInheritedWorkers();
    for (const { id, step, agoMs = 0, queue = "desk" } of cases) {
        const arrivedAtMs = clock.wallMs() - agoMs;
        const steps = [{ ...plainStep, ...step }];
        scheduler.addJob({ id, queue, payload: "", steps, schedule: undefined, arrivedAtMs });
    }
    const capacity = Resources.create({ processors: 1, memoryMb: 64_000 });
    const fields = {
        address: "127.0.0.1:1",
        service: "desk",
        zone: "z",
        rack: "r",
        labels: [],
        isDraining: false,
    };
    const started: string[] = [];
    for (let index = 0; started.length < cases.length && index < 1_000; index++) {
        // The next plan selects anew.
        clock.advance(100);
        // Each start takes the only processor of its worker, and a new worker takes the next one.
        const worker = scheduler.registerWorker({ id: `w${index}`, startedAtMs: 1, capacity, ...fields });
        scheduler.noteListing(
            worker,
            { startedAtMs: 1, running: [], ended: [], isPartial: false },
            clock.nowMs(),
        );
        for (const order of scheduler.plan()) {
            const id = order.kind === OrderKind.Start ? order.run.task.step.occurrence.job.spec.id : "";
            if (id !== "" && !started.includes(id)) {
                started.push(id);
            }
        }
    }
    return started;
};

const cases: readonly [failure: string, jobs: readonly Case[], order: readonly string[]][] = [
    [
        "a job of a lower priority goes before one of a higher one because it is worth more",
        [
            { id: "a", step: { count: 2 } },
            { id: "b", step: { estimatedMs: 9_000 }, queue: "top" },
        ],
        ["b", "a"],
    ],
    [
        "small jobs are late because a large one with an earlier latest start takes all capacity",
        [
            { id: "a", step: { count: 60 }, agoMs: 400 },
            { id: "b", step: {} },
            { id: "c", step: {} },
        ],
        ["b", "c", "a"],
    ],
    [
        "a job whose result is of no use goes before one that can be in time",
        [
            { id: "a", step: {}, agoMs: 9_000 },
            { id: "b", step: { count: 3 } },
        ],
        ["b", "a"],
    ],
    [
        "a job that has waited for ten target times starves",
        [
            { id: "a", step: {}, agoMs: 26_000 },
            { id: "b", step: { count: 3 } },
            { id: "c", step: {}, agoMs: 25_500 },
        ],
        ["a", "c", "b"],
    ],
];

// Guards against the failures that the table names: callers lose results, or a job never starts.
t.test("jobs start by worth", t => {
    for (const [failure, jobs, order] of cases) {
        t.same(startOrderOf(jobs), order, `guards against: ${failure}`);
    }
    t.end();
});
