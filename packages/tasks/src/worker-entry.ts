import { Resources } from "@samphireward/core/resources";
import type { WorkerView } from "@samphireward/placement/worker-view";

interface Reservation {
    readonly resources: Resources;
    readonly interferenceClass: string;
}

/**
 * A worker's row in the capacity ledger. A reservation is made before the write-ahead record of a start and
 * removed only when the attempt has ended for certain.
 */
export class WorkerEntry implements WorkerView {
    open = false;
    measuredLoad = 0;
    /** Task for which the worker is kept free. */
    heldFor: string | undefined;
    readonly classes = new Map<string, number>();
    reserved: Resources;

    private readonly reservations = new Map<string, Reservation>();
    /** What runs on the worker without being known to this owner. */
    private foreign = Resources.none;

    private constructor(
        readonly name: string,
        public rack: string,
        public capacity: Resources,
        private service: Resources,
    ) {
        this.reserved = service;
    }

    static create(name: string, rack: string, capacity: Resources, service: Resources): WorkerEntry {
        return new WorkerEntry(name, rack, capacity, service);
    }

    get taskCount(): number {
        return this.reservations.size;
    }

    /** Whether a task fits beside the service's reserve on the otherwise empty worker. */
    couldHold(resources: Resources): boolean {
        return this.service.plus(resources).fitsIn(this.capacity);
    }

    fits(resources: Resources): boolean {
        return this.reserved.plus(resources).fitsIn(this.capacity);
    }

    reserve(key: string, resources: Resources, interferenceClass: string): void {
        this.reservations.set(key, { resources, interferenceClass });
        this.recompute();
    }

    release(key: string): void {
        if (this.reservations.delete(key)) {
            this.recompute();
        }
    }

    setForeign(foreign: Resources): void {
        this.foreign = foreign;
        this.recompute();
    }

    setCapacity(capacity: Resources, service: Resources): void {
        this.capacity = capacity;
        this.service = service;
        this.recompute();
    }

    /** Sums anew, because adding and subtracting fractions of processors would drift. */
    private recompute(): void {
        let sum = this.service.plus(this.foreign);
        this.classes.clear();
        for (const { resources, interferenceClass } of this.reservations.values()) {
            sum = sum.plus(resources);
            const processors = (this.classes.get(interferenceClass) ?? 0) + resources.processors;
            this.classes.set(interferenceClass, processors);
        }
        this.reserved = sum;
    }
}
