import { Resources } from "@samphireward/core/resources";
import type { Clock } from "@samphireward/core/clock";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import type { RunningTask } from "@samphireward/standins/worker/running-task";
import { WorkerModel } from "@samphireward/standins/worker/worker-model";
import { WorkerObserver } from "@samphireward/standins/worker/worker-observer";
import type { InvariantChecker } from "./invariant-checker.js";
import { SkewedClock } from "./skewed-clock.js";

const capacity = Resources.create({ processors: 4, memoryMb: 8000, accelerators: 1 });

/** Passes a worker's starts and ends to the checker. */
class Observer extends WorkerObserver {
    constructor(
        private readonly worker: string,
        private readonly checker: InvariantChecker,
    ) {
        super();
    }

    override started(task: RunningTask, checkpoint: string | undefined): void {
        this.checker.started(this.worker, capacity, task, checkpoint);
    }

    override ended(task: RunningTask, end: Parameters<InvariantChecker["ended"]>[2]): void {
        this.checker.ended(this.worker, task, end);
    }

    override overcommitRefused(key: string, attempt: number): void {
        this.checker.overcommitRefused(this.worker, key, attempt);
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
    readonly model: WorkerModel;

    private constructor(
        readonly name: string,
        clock: Clock,
        rate: number,
        readonly checker: InvariantChecker,
    ) {
        this.model = WorkerModel.create(
            capacity,
            SkewedClock.create(clock, rate),
            new Observer(name, checker),
        );
    }

    static create(name: string, clock: Clock, rate: number, checker: InvariantChecker): SimWorker {
        return new SimWorker(name, clock, rate, checker);
    }

    get info(): WorkerInfo {
        const { name, leaving, address } = this;
        return {
            name,
            taskAddress: address,
            serviceAddress: address,
            dataCentre: "herning-a",
            rack: name,
            capacity,
            leaving,
        };
    }

    die(): void {
        this.model.crash();
        this.alive = false;
        this.incarnation += 1;
    }
}
