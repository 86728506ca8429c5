import { Resources } from "@samphireward/core/resources";
import type { WorkerInfo } from "@samphireward/core/worker-info";
import { UnreachableWorkerClient } from "./unreachable-worker-client.js";
import type { WorkerClient } from "./worker-client.js";
import { WorkerEntry } from "./worker-entry.js";
import type { WorkerLink } from "./worker-link.js";

/** How the set makes its parts. */
interface Factory {
    readonly connect: (worker: WorkerInfo) => WorkerClient;
    readonly link: (entry: WorkerEntry, client: WorkerClient) => WorkerLink;
    /** A worker was dropped. */
    readonly dropped: (name: string) => void;
}

/** The cell's workers: what the directory lists, and what the records still name. */
export class WorkerSet {
    private readonly links = new Map<string, WorkerLink>();
    private readonly addresses = new Map<string, string>();
    /** Largest free space of the listed workers, one for each different capacity. */
    private shapes = new Map<string, WorkerEntry>();

    private constructor(
        private readonly factory: Factory,
        private serviceReserve: Resources,
    ) {}

    static create(factory: Factory, serviceReserve: Resources): WorkerSet {
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

    /** The worker's link, made without an address when the directory has not listed it yet. */
    getOrExpect(name: string): WorkerLink {
        const known = this.links.get(name);
        if (known !== undefined) {
            return known;
        }
        const entry = WorkerEntry.create(name, "", Resources.none, this.serviceReserve);
        const link = this.factory.link(entry, UnreachableWorkerClient.create());
        this.links.set(name, link);
        return link;
    }

    /**
     * Takes the directory's list of the cell's workers. An empty list is ignored, because a directory that has
     * just started lists nothing, and its removal of a VM counts as proof that the VM is off.
     */
    update(workers: readonly WorkerInfo[]): void {
        if (workers.length === 0) {
            return;
        }
        for (const worker of workers) {
            this.put(worker);
        }
        const listed = new Set(workers.map(({ name }) => name));
        for (const [name, link] of this.links) {
            if (!listed.has(name)) {
                this.setGone(name, link);
            }
        }
        this.findShapes();
    }

    setServiceReserve(serviceReserve: Resources): void {
        this.serviceReserve = serviceReserve;
        for (const { entry } of this.links.values()) {
            entry.setCapacity(entry.capacity, serviceReserve);
        }
        this.findShapes();
    }

    /** Whether the directory lists any worker of the cell. */
    get isListed(): boolean {
        return this.shapes.size > 0;
    }

    /** Whether a task fits on some listed worker beside the service's reserve. Costs one check for each shape. */
    couldHold(resources: Resources): boolean {
        for (const entry of this.shapes.values()) {
            if (entry.couldHold(resources)) {
                return true;
            }
        }
        return false;
    }

    /** The listed capacities, for the reason of a refusal. */
    describeCapacities(): string {
        const texts = [...this.shapes.values()].map(
            ({ capacity: { processors, memoryMb, accelerators } }) =>
                `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`,
        );
        return texts.join("; ");
    }

    private put(worker: WorkerInfo): void {
        const known = this.links.get(worker.name);
        const address = this.addresses.get(worker.name);
        if (known === undefined) {
            this.add(worker);
        } else if (address === undefined || address === worker.taskAddress) {
            this.refresh(known, worker, address === undefined);
        } else if (known.entry.taskCount === 0) {
            this.add(worker);
        } else {
            // Another VM with the same name cannot tell what the earlier one runs; its leases have to end.
            known.setGone(true);
        }
    }

    private add(worker: WorkerInfo): void {
        const { name, rack, capacity, leaving, taskAddress } = worker;
        const entry = WorkerEntry.create(name, rack, capacity, this.serviceReserve);
        const link = this.factory.link(entry, this.factory.connect(worker));
        link.state.leaving = leaving;
        this.links.set(name, link);
        this.addresses.set(name, taskAddress);
    }

    private refresh(link: WorkerLink, worker: WorkerInfo, isFirstListing: boolean): void {
        link.entry.rack = worker.rack;
        link.entry.setCapacity(worker.capacity, this.serviceReserve);
        link.state.leaving = worker.leaving;
        if (isFirstListing) {
            link.reconnect(this.factory.connect(worker));
            this.addresses.set(worker.name, worker.taskAddress);
        }
        link.setGone(false);
    }

    /** A worker that left is dropped once nothing is reserved on it. */
    private setGone(name: string, link: WorkerLink): void {
        link.setGone(true);
        if (link.entry.taskCount === 0) {
            this.links.delete(name);
            this.addresses.delete(name);
            this.factory.dropped(name);
        }
    }

    private findShapes(): void {
        this.shapes = new Map();
        for (const { entry, state } of this.links.values()) {
            const { processors, memoryMb, accelerators } = entry.capacity;
            if (!state.gone) {
                this.shapes.set(`${processors}|${memoryMb}|${accelerators}`, entry);
            }
        }
    }
}
