import { Resources } from "@samphireward/core/resources";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import { UnreachableWorkerClient } from "./unreachable-worker-client.js";
import type { WorkerClient } from "./worker-client.js";
import { WorkerEntry } from "./worker-entry.js";
import type { WorkerLink } from "./worker-link.js";

/** Creates the parts of a worker set, and learns about removed workers. */
interface WorkerSetFactory {
    readonly createClient: (worker: WorkerInfo) => WorkerClient;
    readonly createLink: (entry: WorkerEntry, client: WorkerClient) => WorkerLink;
    /** Called when a worker has been removed. */
    readonly onRemoved: (name: string) => void;
}

/** The cell's workers: those that the directory lists, and those that records still refer to. */
export class WorkerSet {
    private readonly links = new Map<string, WorkerLink>();
    private readonly addresses = new Map<string, string>();
    /** One listed worker for each distinct capacity. */
    private entryByCapacity = new Map<string, WorkerEntry>();

    private constructor(
        private readonly factory: WorkerSetFactory,
        private serviceReserve: Resources,
    ) {}

    static create(factory: WorkerSetFactory, serviceReserve: Resources): WorkerSet {
        return new WorkerSet(factory, serviceReserve);
    }

    get all(): Iterable<WorkerLink> {
        return this.links.values();
    }

    get names(): Iterable<string> {
        return this.links.keys();
    }

    get(name: string): WorkerLink | undefined {
        return this.links.get(name);
    }

    /**
     * Returns the worker's link. Creates one without an address when the directory has not listed the worker
     * yet.
     */
    getOrCreate(name: string): WorkerLink {
        const known = this.links.get(name);
        if (known !== undefined) {
            return known;
        }
        const entry = WorkerEntry.create(name, "", Resources.none, this.serviceReserve);
        const link = this.factory.createLink(entry, UnreachableWorkerClient.create());
        this.links.set(name, link);
        return link;
    }

    /**
     * Applies the directory's list of the cell's workers. An empty list is ignored, because a directory that
     * has just started lists nothing, and the removal of a VM from the list counts as proof that the VM is
     * off.
     */
    update(workers: readonly WorkerInfo[]): void {
        if (workers.length === 0) {
            return;
        }
        for (const worker of workers) {
            this.updateWorker(worker);
        }
        const listed = new Set(workers.map(({ name }) => name));
        for (const [name, link] of this.links) {
            if (!listed.has(name)) {
                this.setGone(name, link);
            }
        }
        this.indexCapacities();
    }

    setServiceReserve(serviceReserve: Resources): void {
        this.serviceReserve = serviceReserve;
        for (const { entry } of this.links.values()) {
            entry.setCapacity(entry.capacity, serviceReserve);
        }
        this.indexCapacities();
    }

    /** Whether the directory lists any worker of the cell. */
    get hasListedWorkers(): boolean {
        return this.entryByCapacity.size > 0;
    }

    /**
     * Whether a task fits on some listed worker beside the service's reserve. Costs one check for each
     * distinct capacity.
     */
    fitsAnyWorker(resources: Resources): boolean {
        for (const entry of this.entryByCapacity.values()) {
            if (entry.fitsWhenEmpty(resources)) {
                return true;
            }
        }
        return false;
    }

    /** Describes the listed capacities, for the reason of a refusal. */
    describeCapacities(): string {
        const texts = [...this.entryByCapacity.values()].map(
            ({ capacity: { processors, memoryMb, accelerators } }) =>
                `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`,
        );
        return texts.join("; ");
    }

    private updateWorker(worker: WorkerInfo): void {
        const known = this.links.get(worker.name);
        const address = this.addresses.get(worker.name);
        if (known === undefined) {
            this.add(worker);
        } else if (address === undefined || address === worker.taskAddress) {
            this.refresh(known, worker, address === undefined);
        } else if (known.entry.taskCount === 0) {
            this.add(worker);
        } else {
            // Another VM with the same name cannot tell what the earlier one runs, so the earlier one's
            // leases have to end first.
            known.setGone(true);
        }
    }

    private add(worker: WorkerInfo): void {
        const { name, rack, capacity, leaving, taskAddress } = worker;
        const entry = WorkerEntry.create(name, rack, capacity, this.serviceReserve);
        const link = this.factory.createLink(entry, this.factory.createClient(worker));
        link.state.isLeaving = leaving;
        this.links.set(name, link);
        this.addresses.set(name, taskAddress);
    }

    private refresh(link: WorkerLink, worker: WorkerInfo, isFirstListing: boolean): void {
        link.entry.rack = worker.rack;
        link.entry.setCapacity(worker.capacity, this.serviceReserve);
        link.state.isLeaving = worker.leaving;
        if (isFirstListing) {
            link.replaceClient(this.factory.createClient(worker));
            this.addresses.set(worker.name, worker.taskAddress);
        }
        link.setGone(false);
    }

    /** Marks a worker as gone, and removes it once nothing is reserved on it. */
    private setGone(name: string, link: WorkerLink): void {
        link.setGone(true);
        if (link.entry.taskCount === 0) {
            this.links.delete(name);
            this.addresses.delete(name);
            this.factory.onRemoved(name);
        }
    }

    private indexCapacities(): void {
        this.entryByCapacity = new Map();
        for (const [name, { entry, state }] of this.links) {
            const { processors, memoryMb, accelerators } = entry.capacity;
            if (!state.isGone && this.addresses.has(name)) {
                this.entryByCapacity.set(`${processors}|${memoryMb}|${accelerators}`, entry);
            }
        }
    }
}
