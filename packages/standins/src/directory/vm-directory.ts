import type { Clock } from "@samphireward/core/clock";
import type { VmRecord } from "./vm-record.js";

/** One state of the list and since when it holds. */
interface Version {
    readonly sinceMs: number;
    readonly vms: ReadonlyMap<string, VmRecord>;
}

/** The platform's list of VMs, served as it was a fixed time ago. */
export class VmDirectory {
    private versions: Version[] = [{ sinceMs: -Infinity, vms: new Map() }];

    private constructor(
        private readonly clock: Clock,
        private readonly lagMs: number,
    ) {}

    static create(clock: Clock, lagMs: number): VmDirectory {
        return new VmDirectory(clock, lagMs);
    }

    /** Adds a VM or replaces the one with the same name. */
    put(vm: VmRecord): void {
        this.change(vms => vms.set(vm.name, vm));
    }

    remove(name: string): void {
        this.change(vms => vms.delete(name));
    }

    /** Marks a VM as leaving; returns whether it is known. */
    markLeaving(name: string): boolean {
        const vm = this.versions.at(-1)?.vms.get(name);
        if (vm !== undefined) {
            this.put({ ...vm, leaving: true });
        }
        return vm !== undefined;
    }

    /** The list as it was `lagMs` ago. */
    list(): VmRecord[] {
        const visibleMs = this.clock.nowMs() - this.lagMs;
        const index = this.versions.findLastIndex(version => version.sinceMs <= visibleMs);
        this.versions = this.versions.slice(Math.max(0, index));
        return [...(this.versions[0]?.vms.values() ?? [])];
    }

    private change(edit: (vms: Map<string, VmRecord>) => void): void {
        const vms = new Map(this.versions.at(-1)?.vms);
        edit(vms);
        this.versions.push({ sinceMs: this.clock.nowMs(), vms });
    }
}
