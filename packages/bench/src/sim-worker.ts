import { Resources } from "@samphireward/core/resources";
import type { WorkerView } from "@samphireward/placement/worker-view";
import type { TrueInterference } from "./true-interference.js";
import type { SimTask } from "./sim-task.js";
import type { UserProfile } from "./user-profile.js";

const SlotCount = 8;

/** A worker of the benchmark: what runs on it, and how it slows down. */
export class SimWorker {
    readonly tasks = new Set<SimTask>();
    /** Reserved processors by class, throttled tasks with their reduced share. */
    readonly processorsByClass = new Map<string, number>();
    reserved: Resources;
    /** True load and slowdowns by class index since the last `step`. */
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

    /** The worker as the scheduler sees it. */
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
        for (const { simClass, processorShare: share } of this.tasks) {
            this.processorsByClass.set(
                simClass.name,
                (this.processorsByClass.get(simClass.name) ?? 0) + simClass.processors * share,
            );
        }
    }

    /** Computes load and slowdowns for the next second from what runs now and the requests that arrive. */
    step(requestRate: number, hidden: TrueInterference): void {
        const { processors, meanRequestMs: requestMs, classes } = this.profile;
        const reserve = classes[0]?.processors ?? 0;
        this.shares.fill(0);
        let used = 0;
        for (const task of this.tasks) {
            const active = task.usedProcessors * task.processorShare;
            this.shares[task.classIndex] = (this.shares[task.classIndex] ?? 0) + active / processors;
            used += active;
        }
        const before = this.slowdowns[0] ?? 1;
        this.slotUtilization = Math.min(0.98, (requestRate * requestMs * before) / 1000 / SlotCount);
        const serviceUse = reserve * this.slotUtilization;
        this.shares[0] = serviceUse / processors;
        this.load = Math.min(1, (used + serviceUse) / processors);
        // Work beyond the processors is slowed down; the service's reserved part is only half protected.
        const excess = Math.max(1, used / (processors - serviceUse));
        for (let index = 0; index < this.slowdowns.length; index++) {
            const contention = index === 0 ? 1 + 0.5 * (excess - 1) : excess;
            this.slowdowns[index] = hidden.slowdown(index, this.shares, this.load) * contention;
        }
    }

    /** Mean wait of a request for a slot, in milliseconds. */
    get meanSlotWaitMs(): number {
        const service = this.profile.meanRequestMs * (this.slowdowns[0] ?? 1);
        return (service * this.slotUtilization ** SlotCount) / (SlotCount * (1 - this.slotUtilization));
    }
}
