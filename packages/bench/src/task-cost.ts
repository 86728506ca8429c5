import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { LeastLoadedPolicy } from "@samphireward/placement/least-loaded-policy";
import { CellOwner } from "@samphireward/tasks/cell-owner";
import { CellState } from "@samphireward/tasks/cell-state";
import { CellStateCodec } from "@samphireward/tasks/cell-state-codec";
import { InstantLog } from "./instant-log.js";
import { InstantWorker } from "./instant-worker.js";

/** Workers of one cell at the target scale. */
const WorkerCount = 100;
const PayloadBytes = 100;
const CancelledTasks = 10_000;
const AcceptBatchSize = 5000;

setFlagsFromString("--expose_gc");
const collectGarbage = runInNewContext("gc") as () => void;

const heapBytes = (): number => {
    collectGarbage();
    return process.memoryUsage().heapUsed;
};

/** A cell whose workers together have room for `maxRunningTasks` tasks of one processor. */
class BenchCell {
    readonly clock = ManualClock.create(1000);
    readonly workers = Array.from({ length: WorkerCount }, () => InstantWorker.create());
    readonly state = CellState.create();
    readonly log = InstantLog.create();
    readonly owner: CellOwner;

    private constructor(maxRunningTasks: number) {
        this.owner = CellOwner.create({
            clock: this.clock,
            log: this.log,
            state: this.state,
            policy: LeastLoadedPolicy.create(),
            tables: { pools: new Map(), serviceReserve: Resources.none },
            createClient: info => this.workers[Number(info.name)] as InstantWorker,
            mayGrant: () => true,
        });
        const processors = Math.ceil(maxRunningTasks / WorkerCount);
        const capacity = Resources.create({ processors, memoryMb: 1e9 });
        this.owner.updateWorkers(
            this.workers.map((_, index) => ({
                name: String(index),
                taskAddress: "127.0.0.1:1",
                serviceAddress: "127.0.0.1:1",
                dataCentre: "herning-a",
                rack: `rack-${index % 10}`,
                capacity,
                leaving: false,
            })),
        );
    }

    static create(maxRunningTasks: number): BenchCell {
        return new BenchCell(maxRunningTasks);
    }

    get running(): number {
        return this.workers.reduce((sum, worker) => sum + worker.taskCount, 0);
    }

    async tick(): Promise<void> {
        this.clock.advance(100);
        this.owner.tick();
        await new Promise(resolve => setImmediate(resolve));
    }

    async tickUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await this.tick();
        }
    }

    /** Submits tasks in batches, because the owner refuses more than 10,000 submissions at once. */
    async accept(count: number): Promise<void> {
        for (let first = 0; first < count; first += AcceptBatchSize) {
            const size = Math.min(AcceptBatchSize, count - first);
            const answers = Array.from({ length: size }, (_, index) => this.acceptOne(first + index));
            const refused = (await Promise.all(answers)).filter(accepted => !accepted).length;
            if (refused > 0) {
                throw new Error(`${refused} submissions were refused`);
            }
        }
    }

    private async acceptOne(index: number): Promise<boolean> {
        const answer = await this.owner.accept({
            key: `task-${index}`,
            pool: "cutting",
            resources: Resources.create({ processors: 1, memoryMb: 100 }),
            expectedRunMs: 1000,
            payload: String(index).padEnd(PayloadBytes, "x"),
        });
        return answer.isOk();
    }
}

const measure = async (run: () => Promise<void>): Promise<number> => {
    const startMs = performance.now();
    await run();
    return performance.now() - startMs;
};

/** No lines are printed during the first round, which warms up the JIT compiler. */
let isWarmedUp = false;

const printLine = (line: object): void => {
    if (isWarmedUp) {
        process.stdout.write(`${JSON.stringify({ bench: "task-cost", ...line })}\n`);
    }
};

const print = (what: string, tasks: number, count: number, ms: number): void =>
    printLine({ what, tasks, count, usEach: Number(((ms * 1000) / count).toFixed(1)) });

const measureLifecycle = async (tasks: number): Promise<void> => {
    const cell = BenchCell.create(tasks);
    await cell.tickUntil(() => cell.owner.describe().workers.every(worker => worker.state === "open"));
    const heapBefore = heapBytes();
    const isEnded = (): boolean => cell.state.ended.size === tasks;
    print("accept", tasks, tasks, await measure(() => cell.accept(tasks)));
    const heapQueued = heapBytes();
    print("start", tasks, tasks, await measure(() => cell.tickUntil(() => cell.running === tasks)));
    const heapRunning = heapBytes();
    print(
        "idle-second",
        tasks,
        1,
        await measure(async () => {
            for (let tick = 0; tick < 10; tick += 1) {
                await cell.tick();
            }
        }),
    );
    cell.workers.forEach(worker => worker.finishAll());
    print("finish", tasks, tasks, await measure(() => cell.tickUntil(isEnded)));
    const heapEnded = heapBytes();
    const bytesEach = (bytes: number): number => Math.round((bytes - heapBefore) / tasks);
    const memory = {
        queued: bytesEach(heapQueued),
        running: bytesEach(heapRunning),
        ended: bytesEach(heapEnded),
    };
    const logBytes = Math.round(cell.log.bytes / tasks);
    const snapshotBytes = Math.round(JSON.stringify(CellStateCodec.toItems(cell.state)).length / tasks);
    printLine({ what: "bytes-each", tasks, ...memory, logBytes, snapshotBytes });
};

/** Cancels many tasks, of which about a tenth runs, and waits until all have ended. */
const measureMassCancellation = async (tasks: number): Promise<void> => {
    const cell = BenchCell.create(1500);
    await cell.accept(tasks);
    await cell.tickUntil(() => cell.running >= Math.min(tasks, 1500));
    const cancelledKeys = Array.from(
        { length: Math.min(CancelledTasks, tasks) },
        (_, index) => `task-${index}`,
    );
    const { ended } = cell.state;
    const cancelAll = async (): Promise<void> => {
        await Promise.all(cancelledKeys.map(key => cell.owner.cancel(key)));
    };
    print("cancel-recorded", tasks, cancelledKeys.length, await measure(cancelAll));
    const areCancelledEnded = (): boolean => ended.size >= cancelledKeys.length;
    print(
        "cancel-stopped",
        tasks,
        cancelledKeys.length,
        await measure(() => cell.tickUntil(areCancelledEnded)),
    );
};

/** Measures the owner's own cost for each task, without network and store. Prints one JSON line for each result. */
const main = async (): Promise<void> => {
    await measureLifecycle(500);
    isWarmedUp = true;
    for (const tasks of [1500, 15_000]) {
        await measureLifecycle(tasks);
    }
    await measureMassCancellation(15_000);
};

await main();
