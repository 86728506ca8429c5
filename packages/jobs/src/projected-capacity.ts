import { Resources } from "@samphireward/core/resources";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Capacity of each worker that is free or being freed, less what is set aside for waiting tasks. */
export class ProjectedCapacity {
    private readonly remaining = new Map<WorkerIncarnation, Resources>();

    private constructor() {}

    static create(workers: Iterable<WorkerIncarnation>): ProjectedCapacity {
        const capacity = new ProjectedCapacity();
        for (const worker of workers) {
            let free = worker.entry.capacity.minus(worker.reservedOrPending);
            for (const run of worker.runs.values()) {
                free = run.isStopRequested ? free.plus(run.reservation) : free;
            }
            free = worker.heldFor === undefined ? free : free.minus(worker.heldFor.reservation);
            capacity.remaining.set(worker, free);
        }
        return capacity;
    }

    fits(worker: WorkerIncarnation, reservation: Resources): boolean {
        return reservation.fitsIn(this.remaining.get(worker) ?? Resources.none);
    }

    release(worker: WorkerIncarnation, freed: Resources): void {
        this.remaining.set(worker, (this.remaining.get(worker) ?? Resources.none).plus(freed));
    }

    reserve(worker: WorkerIncarnation, reservation: Resources): void {
        this.remaining.set(worker, (this.remaining.get(worker) ?? Resources.none).minus(reservation));
    }
}
