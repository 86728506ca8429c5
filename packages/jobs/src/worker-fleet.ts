import type { WorkerEntry } from "./worker-entry.js";
import { WorkerIncarnation } from "./worker-incarnation.js";

/** The workers of a cell: the current incarnation of each id. */
export class WorkerFleet {
    private readonly workersById = new Map<string, WorkerIncarnation>();
    private frozenLeaseKeys: ReadonlySet<string> = new Set();
    private evacuated: ReadonlySet<string> = new Set();

    private constructor() {}

    static create(): WorkerFleet {
        return new WorkerFleet();
    }

    get workers(): Iterable<WorkerIncarnation> {
        return this.workersById.values();
    }

    get size(): number {
        return this.workersById.size;
    }

    get(id: string): WorkerIncarnation | undefined {
        return this.workersById.get(id);
    }

    /**
     * Records a registration. Returns the worker and, if it was restarted, the previous incarnation, whose runs have
     * all ended. A registration of an older incarnation, which may have been read before the restart, does not replace
     * the newer one. Until a later read shows the newer one, that one counts as not registered, so that it is forgotten
     * after its last lease if the worker's clock was set back.
     */
    register(entry: WorkerEntry): {
        readonly worker: WorkerIncarnation;
        readonly replaced: WorkerIncarnation | undefined;
    } {
        const existing = this.workersById.get(entry.id);
        if (existing !== undefined && existing.entry.startedAtMs === entry.startedAtMs) {
            existing.entry = entry;
            existing.isRegistered = true;
            existing.isEvacuated = this.evacuated.has(entry.zone);
            return { worker: existing, replaced: undefined };
        }
        if (existing !== undefined && existing.entry.startedAtMs > entry.startedAtMs) {
            existing.isRegistered = false;
            return { worker: existing, replaced: undefined };
        }
        const worker = WorkerIncarnation.create(entry);
        worker.isLeaseFrozen = this.frozenLeaseKeys.has(worker.key);
        worker.isEvacuated = this.evacuated.has(entry.zone);
        this.workersById.set(entry.id, worker);
        return { worker, replaced: existing };
    }

    /** Sets the workers, by key, whose leases must not be extended, also if they register later. */
    freezeLeases(keys: ReadonlySet<string>): void {
        this.frozenLeaseKeys = keys;
        for (const worker of this.workers) {
            worker.isLeaseFrozen = keys.has(worker.key);
        }
    }

    /** The data centres that are being evacuated. */
    get evacuatedDataCentres(): ReadonlySet<string> {
        return this.evacuated;
    }

    /** Sets the data centres in which nothing starts, also on workers that register later. */
    setEvacuated(dataCentres: ReadonlySet<string>): void {
        this.evacuated = dataCentres;
        for (const worker of this.workers) {
            worker.isEvacuated = dataCentres.has(worker.entry.zone);
        }
    }

    remove(worker: WorkerIncarnation): void {
        if (this.workersById.get(worker.entry.id) === worker) {
            this.workersById.delete(worker.entry.id);
        }
    }
}
