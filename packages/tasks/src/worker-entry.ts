import { Resources } from "@samphireward/core/resources";
import type { WorkerView } from "@samphireward/placement/worker-view";

interface Reservation {
    readonly resources: Resources;
    readonly interferenceClass: string;
    readonly pool: string;
    /** Whether the task may crash the worker. */
    readonly isSuspect?: boolean;
}

/**
 * Tracks the capacity of one worker. A reservation is made before the write-ahead record of a start and
 * removed only when the attempt has definitely ended.
 */
export class WorkerEntry implements WorkerView {
    open = false;
    /** The worker takes no tasks because it is leaving or by an operator's command. */
    isWithdrawn = false;
    measuredLoad = 0;
    /** Task for which the worker is kept free. */
    heldFor: string | undefined;
    readonly processorsByClass = new Map<string, number>();
    /** Number of tasks of each pool. */
    readonly poolCounts = new Map<string, number>();
    reserved: Resources;

    private readonly reservations = new Map<string, Reservation>();
    /** Resources of tasks that run on the worker but are not in this owner's records. */
    private unrecorded = Resources.none;

    private constructor(
        readonly name: string,
        public rack: string,
        public capacity: Resources,
        private reservedForService: Resources,
    ) {
        this.reserved = reservedForService;
    }

    static create(name: string, rack: string, capacity: Resources, service: Resources): WorkerEntry {
        return new WorkerEntry(name, rack, capacity, service);
    }

    /** The service's reserve on this worker. */
    get serviceReserve(): Resources {
        return this.reservedForService;
    }

    get taskCount(): number {
        return this.reservations.size;
    }

    /** Whether a task runs here that may crash the worker. */
    get hasSuspect(): boolean {
        return [...this.reservations.values()].some(({ isSuspect }) => isSuspect === true);
    }

    /** Whether a task fits beside the service's reserve on the otherwise empty worker. */
    fitsWhenEmpty(resources: Resources): boolean {
        return this.reservedForService.plus(resources).fitsIn(this.capacity);
    }

    /** Returns the resources that a task lacks on this worker; each value is at least 0. */
    shortage(resources: Resources): Resources {
        const over = this.reserved.plus(resources).minus(this.capacity);
        return Resources.create({
            processors: Math.max(0, over.processors),
            memoryMb: Math.max(0, over.memoryMb),
            accelerators: Math.max(0, over.accelerators),
        });
    }

    fits(resources: Resources): boolean {
        return this.reserved.plus(resources).fitsIn(this.capacity);
    }

    /** Whether the worker has become too small for what is reserved on it. */
    get isOverCapacity(): boolean {
        return !this.reserved.fitsIn(this.capacity);
    }

    reserve(id: string, reservation: Reservation): void {
        this.reservations.set(id, reservation);
        this.recomputeReserved();
    }

    release(id: string): void {
        if (this.reservations.delete(id)) {
            this.recomputeReserved();
        }
    }

    setUnrecorded(unrecorded: Resources): void {
        this.unrecorded = unrecorded;
        this.recomputeReserved();
    }

    setCapacity(capacity: Resources, service: Resources): void {
        this.capacity = capacity;
        this.reservedForService = service;
        this.recomputeReserved();
    }

    /**
     * Sums up all reservations again, because adding and subtracting fractions of processors would accumulate
     * errors.
     */
    private recomputeReserved(): void {
        let sum = this.reservedForService.plus(this.unrecorded);
        this.processorsByClass.clear();
        this.poolCounts.clear();
        for (const { resources, interferenceClass, pool } of this.reservations.values()) {
            sum = sum.plus(resources);
            const processors = (this.processorsByClass.get(interferenceClass) ?? 0) + resources.processors;
            this.processorsByClass.set(interferenceClass, processors);
            this.poolCounts.set(pool, (this.poolCounts.get(pool) ?? 0) + 1);
        }
        this.reserved = sum;
    }
}
