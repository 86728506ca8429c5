import { Resources } from "@samphireward/core/resources";
import type { WorkerView } from "@samphireward/placement/worker-view";
import type { TrueInterference } from "./true-interference.js";
import type { SimTask } from "./sim-task.js";
import type { UserProfile } from "./user-profile.js";

const SlotCount = 8;

/** A simulated worker: the tasks that run on it, its load and its slowdowns. */
export class SimWorker {
    readonly tasks = new Set<SimTask>();
    /** Reserved processors of each class; throttled tasks count with their reduced share. */
    readonly processorsByClass = new Map<string, number>();
    reserved: Resources;
    /** True load and slowdowns (by class index), as computed by the last `step`. */
    load = 0;
    readonly slowdowns: number[];
    slotUtilization = 0;
    private isAlive = true;
    private lastReportedLoad = 0;
    private cachedView: WorkerView | undefined;
    private readonly shares: number[];
    private readonly capacity: Resources;

    private constructor(
        readonly name: string,
        readonly rack: string,
        readonly cell: number,
        private readonly profile: UserProfile,
    ) {
        this.capacity = Resources.create(profile);
        this.slowdowns = profile.classes.map(() => 1);
        this.shares = profile.classes.map(() => 0);
        const service = profile.classes[0];
        this.reserved = Resources.create(service ?? {});
        this.updateProcessorsByClass();
    }

    static create(name: string, rack: string, cell: number, profile: UserProfile): SimWorker {
        return new SimWorker(name, rack, cell, profile);
    }

    /** The worker as placement policies see it. */
    get view(): WorkerView {
        this.cachedView ??= {
            name: this.name,
            rack: this.rack,
            capacity: this.capacity,
            reserved: this.reserved,
            measuredLoad: this.lastReportedLoad,
            processorsByClass: this.processorsByClass,
            open: this.isAlive,
        };
        return this.cachedView;
    }

    get alive(): boolean {
        return this.isAlive;
    }

    /** Share of the processors in use, as last reported to the scheduler. */
    get reportedLoad(): number {
        return this.lastReportedLoad;
    }

    setAlive(alive: boolean): void {
        this.isAlive = alive;
        this.cachedView = undefined;
    }

    setReportedLoad(load: number): void {
        this.lastReportedLoad = load;
        this.cachedView = undefined;
    }

    add(task: SimTask): void {
        this.tasks.add(task);
        this.reserved = this.reserved.plus(Resources.create(task.simClass));
        this.updateProcessorsByClass();
    }

    remove(task: SimTask): void {
        if (this.tasks.delete(task)) {
            this.reserved = this.reserved.minus(Resources.create(task.simClass));
            this.updateProcessorsByClass();
        }
    }

    updateProcessorsByClass(): void {
        this.cachedView = undefined;
        this.processorsByClass.clear();
        const service = this.profile.classes[0];
        if (service !== undefined) {
            this.processorsByClass.set(service.name, service.processors);
        }
        for (const { simClass, processorShare } of this.tasks) {
            this.processorsByClass.set(
                simClass.name,
                (this.processorsByClass.get(simClass.name) ?? 0) + simClass.processors * processorShare,
            );
        }
    }

    /** Computes load and slowdowns of the next second from the running tasks and the rate of requests. */
    step(requestRate: number, interference: TrueInterference): void {
        const { processors, meanRequestMs, classes } = this.profile;
        const reserve = classes[0]?.processors ?? 0;
        this.shares.fill(0);
        let used = 0;
        for (const task of this.tasks) {
            const activeProcessors = task.usedProcessors * task.processorShare;
            this.shares[task.classIndex] =
                (this.shares[task.classIndex] ?? 0) + activeProcessors / processors;
            used += activeProcessors;
        }
        const previousSlowdown = this.slowdowns[0] ?? 1;
        this.slotUtilization = Math.min(
            0.98,
            (requestRate * meanRequestMs * previousSlowdown) / 1000 / SlotCount,
        );
        const serviceUse = reserve * this.slotUtilization;
        this.shares[0] = serviceUse / processors;
        this.load = Math.min(1, (used + serviceUse) / processors);
        // Demand beyond the processors slows work down. The service suffers half of it despite its reservation.
        const excess = Math.max(1, used / (processors - serviceUse));
        for (let index = 0; index < this.slowdowns.length; index++) {
            const contention = index === 0 ? 1 + 0.5 * (excess - 1) : excess;
            this.slowdowns[index] = interference.slowdown(index, this.shares, this.load) * contention;
        }
    }

    /** Mean time for which a request waits for a slot, in milliseconds. */
    get meanSlotWaitMs(): number {
        const service = this.profile.meanRequestMs * (this.slowdowns[0] ?? 1);
        return (service * this.slotUtilization ** SlotCount) / (SlotCount * (1 - this.slotUtilization));
    }
}
