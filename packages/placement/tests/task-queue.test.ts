import { Resources } from "@samphireward/core/resources";
import { WorkClass } from "@samphireward/core/work-class";
import fc from "fast-check";
import t from "tap";
import { IndexedHeap } from "../src/indexed-heap.js";
import type { QueuedTask } from "../src/queued-task.js";
import { TaskQueue } from "../src/task-queue.js";

const { Batch, LatencyCritical } = WorkClass;

const task = (key: string, submittedMs: number, more: Partial<QueuedTask> = {}): QueuedTask => ({
    key,
    submittedAtMs: submittedMs,
    team: "a",
    workClass: Batch,
    interferenceClass: "cutting",
    resources: Resources.create({ processors: 2, memoryMb: 100 }),
    expectedRunMs: 60_000,
    ...more,
});

const queueOf = (...tasks: readonly QueuedTask[]): TaskQueue => {
    const queue = TaskQueue.create({ maxBackfillDelayMs: 1000 });
    tasks.forEach(task => queue.add(task));
    return queue;
};

const keysOf = (tasks: readonly QueuedTask[]): string[] => tasks.map(task => task.key);

const small = { resources: Resources.create({ processors: 0.5 }), expectedRunMs: 500 };

// Guards against small tasks that delay a blocked large task without limit, and against capacity left idle meanwhile.
t.test("backfill ends in time for the blocked task", t => {
    const long = task("long", 1, { ...small, expectedRunMs: 5000 });
    const urgent = task("urgent", 9, { workClass: LatencyCritical });
    const queue = queueOf(task("head", 0), task("short", 2, small), long);
    t.strictSame(keysOf(queue.candidates(0)), ["head", "long", "short"], "no task is blocked");

    queue.markBlocked("head", 100);
    t.strictSame(keysOf(queue.candidates(600)), ["head", "short"], "short ends within the backfill limit");
    queue.markBlocked("short", 600);
    queue.markBlocked("head", 601);
    t.strictSame(
        keysOf(queue.candidates(601)),
        ["head"],
        "the limit counts from the time when the task was first blocked",
    );
    queue.add(urgent);
    t.strictSame(
        keysOf(queue.candidates(5000)),
        ["urgent", "head"],
        "a blocked batch task does not delay urgent tasks",
    );

    t.equal(queue.taskToHoldFor(1099), undefined);
    t.equal(queue.taskToHoldFor(1100)?.key, "head");
    queue.hold("head", true);
    t.strictSame(
        keysOf(queue.candidates(5000)),
        ["urgent", "head", "long", "short"],
        "a worker is reserved for the blocked task",
    );
    queue.hold("head", false);
    queue.remove("head");
    t.strictSame(keysOf(queue.candidates(5000)), ["urgent", "long", "short"], "the blocked task has started");
    t.end();
});

// Guards against a repeated submission that is queued twice, and a cancelled task that starts.
t.test("a key is queued once and can be removed", t => {
    const queue = queueOf(task("a", 1));
    t.notOk(queue.add(task("a", 2)));
    t.equal(queue.remove("a")?.submittedAtMs, 1);
    t.equal(queue.remove("a"), undefined);
    t.equal(queue.size, 0);
    t.strictSame(queue.candidates(0), []);
    t.end();
});

type Change = { add: boolean; key: number; age: number; urgent: boolean };
const change: fc.Arbitrary<Change> = fc.record({
    add: fc.boolean(),
    key: fc.integer({ min: 0, max: 30 }),
    age: fc.integer({ min: 0, max: 20 }),
    urgent: fc.boolean(),
});

const expectedOrder = (tasks: readonly QueuedTask[]): string[] =>
    keysOf(
        [...tasks].sort(
            (a, b) =>
                Number(b.workClass === LatencyCritical) - Number(a.workClass === LatencyCritical) ||
                a.submittedAtMs - b.submittedAtMs ||
                (a.key < b.key ? -1 : 1),
        ),
    );

/** Applies the changes to the queue and to a map, then drains the queue; returns the actual and the expected order. */
const actualAndExpectedOrder = (
    changes: readonly Change[],
    selectNext: (queue: TaskQueue) => QueuedTask | undefined,
): string[][] => {
    const queue = TaskQueue.create();
    const model = new Map<string, QueuedTask>();
    for (const { add, key, age, urgent } of changes) {
        const item = task(`k${key}`, age, { workClass: urgent ? LatencyCritical : Batch });
        if (add) {
            queue.add(item);
            model.set(item.key, model.get(item.key) ?? item);
        } else {
            queue.remove(item.key);
            model.delete(item.key);
        }
    }
    const drained: QueuedTask[] = [];
    for (let next = selectNext(queue); next !== undefined; next = selectNext(queue)) {
        queue.remove(next.key);
        drained.push(next);
    }
    return [keysOf(drained), expectedOrder([...model.values()])];
};

// Guards against additions and removals that break the queue order, and against a property that cannot fail.
t.test("urgent before batch tasks, oldest first within each", t => {
    const inOrder = (selectNext: (queue: TaskQueue) => QueuedTask | undefined) => (): void =>
        fc.assert(
            fc.property(fc.array(change, { maxLength: 100, size: "max" }), changes => {
                const [actual, expected] = actualAndExpectedOrder(changes, selectNext);
                return JSON.stringify(actual) === JSON.stringify(expected);
            }),
            { seed: 14, numRuns: 500 },
        );
    t.doesNotThrow(inOrder(queue => queue.candidates(0)[0]));
    t.throws(inOrder(queue => queue.candidates(0).at(-1)));
    t.end();
});

// Guards against removal that scans the queue: the number of comparisons for each operation must be logarithmic.
t.test("addition and removal cost a logarithmic number of comparisons", t => {
    let comparisons = 0;
    const heap = IndexedHeap.create<{ key: string; order: number }>((a, b) => {
        comparisons++;
        return a.order < b.order;
    });
    const count = 4096;
    for (let index = 0; index < count; index++) {
        heap.add({ key: `k${index}`, order: (index * 2654435761) % 4096 });
    }
    for (let index = 0; index < count; index++) {
        heap.remove(`k${index}`);
    }
    t.ok(
        comparisons / (2 * count) <= 2 * 12 + 2,
        `${comparisons / (2 * count)} comparisons for each operation`,
    );
    t.equal(heap.size, 0);
    t.end();
});
