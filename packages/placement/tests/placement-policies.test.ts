import { Resources } from "@samphireward/core/resources";
import { SeededRandom } from "@samphireward/core/seeded-random";
import { WorkClass } from "@samphireward/core/work-class";
import fc from "fast-check";
import t from "tap";
import { CandidateIndex } from "../src/candidate-index.js";
import { FirstFitPolicy } from "../src/first-fit-policy.js";
import { InterferenceAwarePolicy } from "../src/interference-aware-policy.js";
import { InterferenceModel } from "../src/interference-model.js";
import { LeastLoadedPolicy } from "../src/least-loaded-policy.js";
import { LoadOnlyPolicy } from "../src/load-only-policy.js";
import type { PlacementPolicy } from "../src/placement-policy.js";
import type { PlacementRequest } from "../src/placement-request.js";
import { WaitReason } from "../src/wait-reason.js";
import type { WorkerView } from "../src/worker-view.js";

const weights = {
    tailLatency: 1,
    batch: 1,
    load: 0.1,
    toleratedSlowdown: 1.3,
    latencyCriticalClasses: new Set(["service"]),
};
const interferenceAware = (): PlacementPolicy =>
    InterferenceAwarePolicy.create(InterferenceModel.create(), weights);
const policies = (): PlacementPolicy[] => [
    FirstFitPolicy.create(),
    LeastLoadedPolicy.create(),
    LoadOnlyPolicy.create(),
    interferenceAware(),
];

const view = (name: string, more: Partial<WorkerView> = {}): WorkerView => ({
    name,
    rack: "r0",
    capacity: Resources.create({ processors: 16, memoryMb: 1000, accelerators: 2 }),
    reserved: Resources.create({ processors: 4 }),
    measuredLoad: 0.5,
    processorsByClass: new Map([["service", 4]]),
    open: true,
    ...more,
});

const request = (more: Partial<PlacementRequest> = {}): PlacementRequest => ({
    key: "k",
    resources: Resources.create({ processors: 2, memoryMb: 100 }),
    interferenceClass: "cutting",
    workClass: WorkClass.Batch,
    excludedWorkers: new Set(),
    ...more,
});

const chosen = (policy: PlacementPolicy, task: PlacementRequest, workers: WorkerView[]): string | undefined =>
    policy.choose(task, workers).unwrapOr(undefined);

// Guards against a policy that does not choose by its own criterion.
t.test("each policy chooses by its own criterion", t => {
    const reserved = Resources.create({ processors: 8 });
    const workers = [
        view("first", { reserved, measuredLoad: 0.6 }),
        view("reserved-least", { measuredLoad: 0.9 }),
        view("measured-least", { reserved, measuredLoad: 0.1, processorsByClass: new Map([["service", 4]]) }),
        view("no-service", { reserved, processorsByClass: new Map() }),
    ];
    const names = policies().map(policy => chosen(policy, request(), workers));
    t.strictSame(names, ["first", "reserved-least", "measured-least", "no-service"]);
    t.end();
});

// Guards against batch tasks that wait without limit, and against a wait that is reported as a lack of capacity.
t.test("a task that may wait is not placed where it would interfere", t => {
    const full = view("full", { reserved: Resources.create({ processors: 16 }) });
    const quiet = view("quiet", { processorsByClass: new Map() });
    const cases: { name: string; workers: WorkerView[]; mayWait: boolean; expected: string }[] = [
        { name: "waits", workers: [view("busy")], mayWait: true, expected: WaitReason.WouldInterfere },
        { name: "no longer waits", workers: [view("busy")], mayWait: false, expected: "busy" },
        { name: "finds a quiet worker", workers: [view("busy"), quiet], mayWait: true, expected: "quiet" },
        { name: "no room", workers: [full], mayWait: true, expected: WaitReason.NoRoom },
    ];
    for (const { name, workers, mayWait, expected } of cases) {
        const decision = interferenceAware().choose(request({ mayWait }), workers);
        t.equal(decision.isOk() ? decision.value : decision.error, expected, name);
    }
    t.end();
});

// Guards against the loss of many latency-critical tasks of a pool with one rack.
t.test("latency-critical tasks are spread over racks", t => {
    const workers = ["r0", "r1", "r2"].map(rack =>
        view(`w-${rack}`, { rack, measuredLoad: rack === "r0" ? 0 : 0.5 }),
    );
    const rackCounts = new Map([
        ["r0", 2],
        ["r1", 1],
        ["r2", 2],
    ]);
    for (const policy of policies()) {
        const task = request({ runningTasksByRack: rackCounts, workClass: WorkClass.LatencyCritical });
        t.equal(chosen(policy, task, workers), "w-r1", policy.name);
    }
    t.end();
});

const amounts = fc.record({
    processors: fc.integer({ min: 0, max: 32 }).map(halves => halves / 2),
    memoryMb: fc.integer({ min: 0, max: 1000 }),
    accelerators: fc.integer({ min: 0, max: 2 }),
});
const views = fc
    .array(
        fc.record({
            reserved: amounts,
            open: fc.boolean(),
            load: fc.double({ min: 0, max: 1, noNaN: true }),
        }),
        {
            maxLength: 40,
            size: "max",
        },
    )
    .map(rows =>
        rows.map(({ reserved, open, load }, index) =>
            view(`w${index}`, { reserved: Resources.create(reserved), open, measuredLoad: load }),
        ),
    );
const requests = fc
    .record({ need: amounts, avoid: fc.array(fc.integer({ min: 0, max: 39 }), { maxLength: 3 }) })
    .map(({ need, avoid }) =>
        request({
            resources: Resources.create(need),
            excludedWorkers: new Set(avoid.map(index => `w${index}`)),
        }),
    );

const fits = (worker: WorkerView, task: PlacementRequest): boolean =>
    worker.open &&
    !task.excludedWorkers.has(worker.name) &&
    worker.reserved.plus(task.resources).fitsIn(worker.capacity);

/** Whether the chosen worker has room, and no worker has room if none was chosen. */
const isCorrectDecision = (
    policy: PlacementPolicy,
    task: PlacementRequest,
    workers: WorkerView[],
): boolean => {
    const decision = policy.choose(task, workers);
    const possible = workers.filter(worker => fits(worker, task));
    return decision.isOk() ? possible.some(worker => worker.name === decision.value) : possible.length === 0;
};

const holds = (check: (task: PlacementRequest, workers: WorkerView[]) => boolean) => (): void =>
    fc.assert(fc.property(requests, views, check), { seed: 22, numRuns: 500 });

// Guards against overcommitment of any of the three resources, and against tasks that wait although a worker has room.
t.test("policies never exceed free capacity", t => {
    for (const policy of policies()) {
        t.doesNotThrow(
            holds((task, workers) => isCorrectDecision(policy, task, workers)),
            policy.name,
        );
    }
    t.end();
});

// Guards against a property that cannot fail: each variant of the policy ignores one limit.
t.test("the property detects policies that ignore a limit", t => {
    const ignoring: Record<string, (worker: WorkerView) => WorkerView> = {
        processors: worker =>
            view(worker.name, {
                ...worker,
                reserved: Resources.create({ ...worker.reserved, processors: 0 }),
            }),
        memory: worker =>
            view(worker.name, { ...worker, reserved: Resources.create({ ...worker.reserved, memoryMb: 0 }) }),
        accelerators: worker =>
            view(worker.name, {
                ...worker,
                reserved: Resources.create({ ...worker.reserved, accelerators: 0 }),
            }),
        open: worker => view(worker.name, { ...worker, open: true }),
    };
    for (const [limit, change] of Object.entries(ignoring)) {
        const check = (task: PlacementRequest, workers: WorkerView[]): boolean => {
            const seen = workers.map(worker => change(worker));
            const decision = FirstFitPolicy.create().choose(task, seen);
            return decision.isErr() || workers.some(w => w.name === decision.value && fits(w, task));
        };
        t.throws(holds(check), limit);
    }
    t.end();
});

// Guards against an index that returns full or closed workers, omits workers with room, or keeps removed ones.
t.test("the index returns workers with room, after any changes", t => {
    const returnsWorkersWithRoom = (skipUpdate: boolean) => (): void =>
        fc.assert(
            fc.property(requests, views, views, (task, before, after) => {
                const index = CandidateIndex.create(SeededRandom.create(23), { sampleSize: 4 });
                before.forEach(worker => index.update(worker));
                before.slice(after.length).forEach(worker => index.remove(worker.name));
                after.slice(skipUpdate ? 1 : 0).forEach(worker => index.update(worker));
                const returned = index.candidates(task).map(worker => worker.name);
                const possible = after.filter(worker => fits(worker, task)).map(worker => worker.name);
                return (
                    new Set(returned).size === returned.length &&
                    returned.length === Math.min(4, possible.length) &&
                    returned.every(name => possible.includes(name))
                );
            }),
            { seed: 23, numRuns: 500 },
        );
    t.doesNotThrow(returnsWorkersWithRoom(false));
    t.throws(returnsWorkersWithRoom(true), "the property detects a missed update");
    t.end();
});
