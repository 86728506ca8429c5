import { Agent } from "node:http";
import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { SystemClock } from "@samphireward/core/system-clock";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import { FirstFitPolicy } from "@samphireward/placement/first-fit-policy";
import { StandinWorker } from "@samphireward/standins/worker/standin-worker";
import { GroupCommitLog } from "@samphireward/state/group-commit-log";
import { LogStateMachine } from "@samphireward/state/log-state-machine";
import { MemoryKeyValueStore } from "@samphireward/state/testing/memory-key-value-store";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import t from "tap";
import { CellOwner } from "../src/cell-owner.js";
import { CellState } from "../src/cell-state.js";
import { HttpWorkerClient } from "../src/http-worker-client.js";
import { runCellOwner } from "../src/run-cell-owner.js";
import type { Transition } from "../src/transition.js";

const cell = "herning-a/0";
const capacity = { processors: 4, memoryMb: 8000, accelerators: 0 };
const agent = new Agent({ keepAlive: true });
const store = MemoryKeyValueStore.create(ManualClock.create());

const connect = (address: string, epoch: number): HttpWorkerClient => {
    const [host = "", port] = address.split(":");
    return HttpWorkerClient.create({ host, port: Number(port), cell, epoch, timeoutMs: 1000, agent });
};

/** Collects the log's transitions, from which the owner's state is replayed. */
class Transitions extends LogStateMachine<Transition, Transition> {
    private all: Transition[] = [];

    override apply(transition: Transition): void {
        this.all.push(transition);
    }

    override snapshot(): readonly Transition[] {
        return this.all;
    }

    override restore(items: readonly Transition[]): void {
        this.all = [...items];
    }
}

const spec = (key: string, runMs: number) => ({
    key,
    pool: "cutting",
    resources: Resources.create({ processors: 1, memoryMb: 100 }),
    expectedRunMs: runMs,
    payload: JSON.stringify({ runMs }),
});

const startWorker = async (): Promise<{ worker: StandinWorker; info: WorkerInfo }> => {
    const listen = "127.0.0.1:0";
    const place = { name: "w-0", dataCentre: "herning-a", rack: "a-1" };
    const worker = StandinWorker.create({ ...place, taskListen: listen, serviceListen: listen, capacity });
    const addresses = await worker.start();
    const info = { ...place, ...addresses, capacity: Resources.create(capacity), leaving: false };
    return { worker, info };
};

const startOwner = async (info: WorkerInfo, epoch: number) => {
    const machine = new Transitions();
    const clock = SystemClock.create();
    const opened = await GroupCommitLog.open({ store, clock, cell, owner: "s", epoch, state: machine });
    const log = opened.unwrap();
    const state = CellState.create();
    machine.snapshot().forEach(transition => state.apply(transition));
    const owner = CellOwner.create({
        clock,
        log,
        state,
        policy: FirstFitPolicy.create(),
        tables: { pools: new Map(), serviceReserve: Resources.none },
        createClient: worker => connect(worker.taskAddress, epoch),
        mayGrant: () => true,
    });
    owner.updateWorkers([info]);
    const fiber = Effect.runFork(Effect.raceFirst(runCellOwner(owner), log.run()));
    return { owner, fiber };
};

/** Waits without a time limit; the test runner ends a file that hangs. */
const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
};

// Guards against parts that work only with each other's fakes: the owner's fibers, the group commit log and the
// worker's HTTP port, and a takeover in which a running task must neither stop nor start again.
t.test("tasks run over HTTP and survive a takeover", { timeout: 0 }, async t => {
    const { worker, info } = await startWorker();
    const first = await startOwner(info, 1);
    const answers = await Promise.all([
        first.owner.accept(spec("short", 50)),
        first.owner.accept(spec("long", 3000)),
    ]);
    t.ok(answers.every(answer => answer.isOk()));
    await until(() => first.owner.status("short")?.state === "finished");
    await until(() => first.owner.status("long")?.state === "running");
    await Effect.runPromise(Fiber.interrupt(first.fiber));
    const second = await startOwner(info, 2);
    await until(() => second.owner.status("long")?.state === "finished");
    t.equal(second.owner.status("long")?.attempt, 1);
    t.equal(second.owner.status("short")?.output, "ran 50 ms");
    t.strictSame(worker.model.stats.starts, { "short#1": 1, "long#1": 1 });
    const stale = await connect(info.taskAddress, 1).announceEpoch();
    t.equal(stale.isErr() && stale.error.code, 2201);
    second.owner.close();
    await Effect.runPromise(Fiber.interrupt(second.fiber));
    worker.close();
    agent.destroy();
});

// Guards against a lost call that is reported as not run, and a refused connection that is reported as may
// have run.
t.test(
    "the client distinguishes commands that were not sent from those that may have run",
    { timeout: 0 },
    async t => {
        const { worker, info } = await startWorker();
        const client = connect(info.taskAddress, 1);
        const unknown = await client.checkpoint({ key: "nobody", attempt: 1 });
        t.equal(unknown.isErr() && unknown.error.code, 2104);
        worker.close();
        const refused = await client.stop({ key: "k", attempt: 1 });
        t.ok(
            refused.isErr() && [2005, 3001].includes(refused.error.code),
            "an idle connection may be reused",
        );
        const again = await client.stop({ key: "k", attempt: 1 });
        t.equal(again.isErr() && again.error.code, 2005);
        agent.destroy();
    },
);
