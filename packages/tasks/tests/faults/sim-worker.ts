import { Resources } from "@samphireward/core/resources";
import type { Clock } from "@samphireward/core/clock";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { RunningTask } from "@samphireward/standins/worker/running-task";
import { WorkerModel } from "@samphireward/standins/worker/worker-model";
import { WorkerObserver } from "@samphireward/standins/worker/worker-observer";
import type { InvariantChecker } from "./invariant-checker.js";
import { SkewedClock } from "./skewed-clock.js";

const fullCapacity = Resources.create({ processors: 4, memoryMb: 8000, accelerators: 1 });

/** The directory lists a change within 2 s; the owner then acts within a tick, and a late start arrives 1.9 s later. */
const CapacityLagMs = 4200;

/** Passes a worker's starts and ends to the checker. */
class Observer extends WorkerObserver {
    constructor(
        private readonly worker: SimWorker,
        private readonly checker: InvariantChecker,
    ) {
        super();
    }

    override started(task: RunningTask, checkpoint: string | undefined): void {
        this.checker.started(this.worker.name, this.worker.usableCapacity, task, checkpoint);
        this.worker.onStarted?.(task);
    }

    override ended(task: RunningTask, end: Parameters<InvariantChecker["ended"]>[2]): void {
        this.checker.ended(this.worker.name, task, end);
    }

    override overcommitRefused(key: string, attempt: number): void {
        this.checker.overcommitRefused(this.worker.name, key, attempt);
    }
}

/** A worker of the simulation: the stand-in's model with a clock of its own rate. */
export class SimWorker {
    alive = true;
    listed = true;
    leaving = false;
    address = "127.0.0.1:1";
    /** Incremented when the VM dies; what was sent to an earlier incarnation never arrives. */
    incarnation = 0;
    /** Called when a task has started on the worker. */
    onStarted: ((task: RunningTask) => void) | undefined;
    private says = { capacity: fullCapacity, sinceMs: 0 };
    private saidBefore = fullCapacity;
    readonly model: WorkerModel;

    private constructor(
        readonly name: string,
        readonly rack: string,
        private readonly clock: Clock,
        rate: number,
        readonly checker: InvariantChecker,
    ) {
        this.model = WorkerModel.create(
            fullCapacity,
            SkewedClock.create(clock, rate),
            new Observer(this, checker),
        );
    }

    static create(
        name: string,
        rack: string,
        clock: Clock,
        rate: number,
        checker: InvariantChecker,
    ): SimWorker {
        return new SimWorker(name, rack, clock, rate, checker);
    }

    /** The capacity that the worker says it has. It does not guard it: the model holds the full capacity. */
    get capacity(): Resources {
        return this.says.capacity;
    }

    /** Changes the processors that the worker says it has. */
    resize(processors: number): void {
        const capacity = Resources.create({ processors, memoryMb: 8000, accelerators: 1 });
        this.saidBefore = this.says.capacity;
        this.says = { capacity, sinceMs: this.clock.nowMs() };
    }

    /** The most that an owner may use now: a worker that has shrunk counts as it was for `CapacityLagMs`. */
    get usableCapacity(): Resources {
        const { capacity, sinceMs } = this.says;
        const hasReachedOwners = this.clock.nowMs() - sinceMs >= CapacityLagMs;
        return hasReachedOwners || this.saidBefore.fitsIn(capacity) ? capacity : this.saidBefore;
    }

    get info(): WorkerInfo {
        const { name, rack, leaving, address, capacity } = this;
        return {
            name,
            taskAddress: address,
            serviceAddress: address,
            dataCentre: "herning-a",
            rack,
            capacity,
            leaving,
        };
    }

    die(): void {
        this.checker.workerDied(this.name);
        this.model.crash();
        this.alive = false;
        this.incarnation += 1;
    }
}
