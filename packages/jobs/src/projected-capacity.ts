import { Resources } from "@samphireward/core/resources";
import type { WorkerIncarnation } from "./worker-incarnation.js";

/** Room of each worker that is free or being freed, less what is counted on there by tasks that wait. */
export class ProjectedCapacity {
    private readonly remaining = new Map<WorkerIncarnation, Resources>();

    private constructor() {}

    static create(lives: Iterable<WorkerIncarnation>): ProjectedCapacity {
        const room = new ProjectedCapacity();
        for (const life of lives) {
            let left = life.entry.capacity.minus(life.reservedOrPending);
            for (const run of life.runs.values()) {
                left = run.isStopRequested ? left.plus(run.reservation) : left;
            }
            room.remaining.set(life, left);
        }
        return room;
    }

    fits(life: WorkerIncarnation, held: Resources): boolean {
        return held.fitsIn(this.remaining.get(life) ?? Resources.none);
    }

    release(life: WorkerIncarnation, freed: Resources): void {
        this.remaining.set(life, (this.remaining.get(life) ?? Resources.none).plus(freed));
    }

    reserve(life: WorkerIncarnation, held: Resources): void {
        this.remaining.set(life, (this.remaining.get(life) ?? Resources.none).minus(held));
    }
}
