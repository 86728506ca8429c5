import type { WorkerEntry } from "./worker-entry.js";
import { WorkerIncarnation } from "./worker-incarnation.js";

/** Lives of a cell's workers: the current one of each id, and earlier ones that may still run something. */
export class WorkerFleet {
    private readonly current = new Map<string, WorkerIncarnation>();

    private constructor() {}

    static create(): WorkerFleet {
        return new WorkerFleet();
    }

    get workers(): Iterable<WorkerIncarnation> {
        return this.current.values();
    }

    get size(): number {
        return this.current.size;
    }

    get(id: string): WorkerIncarnation | undefined {
        return this.current.get(id);
    }

    /**
     * Takes note of a registration. Returns the life that it replaces: everything that ran in that one has
     * ended.
     */
    register(entry: WorkerEntry): {
        readonly life: WorkerIncarnation;
        readonly replaced: WorkerIncarnation | undefined;
    } {
        const existing = this.current.get(entry.id);
        if (existing !== undefined && existing.entry.startedAtMs === entry.startedAtMs) {
            existing.entry = entry;
            existing.isRegistered = true;
            return { life: existing, replaced: undefined };
        }
        const life = WorkerIncarnation.create(entry);
        this.current.set(entry.id, life);
        return { life, replaced: existing };
    }

    remove(life: WorkerIncarnation): void {
        if (this.current.get(life.entry.id) === life) {
            this.current.delete(life.entry.id);
        }
    }
}
