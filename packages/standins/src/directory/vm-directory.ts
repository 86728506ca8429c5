import type { Clock } from "@samphireward/core/clock";
import type { VmRecord } from "./vm-record.js";

/** A version of the VM list and the time from which it is valid. */
interface ListVersion {
    readonly validFromMs: number;
    readonly vms: ReadonlyMap<string, VmRecord>;
}

/** The platform's list of VMs, served with a fixed lag. */
export class VmDirectory {
    private versions: ListVersion[] = [{ validFromMs: -Infinity, vms: new Map() }];

    private constructor(
        private readonly clock: Clock,
        private readonly lagMs: number,
    ) {}

    static create(clock: Clock, lagMs: number): VmDirectory {
        return new VmDirectory(clock, lagMs);
    }

    /** Adds a VM or replaces the one with the same name. */
    put(vm: VmRecord): void {
        this.addVersion(vms => vms.set(vm.name, vm));
    }

    remove(name: string): void {
        this.addVersion(vms => vms.delete(name));
    }

    /** Marks a VM as leaving. Returns whether the VM is in the list. */
    markLeaving(name: string): boolean {
        const vm = this.versions.at(-1)?.vms.get(name);
        if (vm !== undefined) {
            this.put({ ...vm, leaving: true });
        }
        return vm !== undefined;
    }

    /** Returns the list as it was `lagMs` ago, and drops the versions before it. */
    list(): VmRecord[] {
        const visibleAtMs = this.clock.nowMs() - this.lagMs;
        const index = this.versions.findLastIndex(version => version.validFromMs <= visibleAtMs);
        this.versions = this.versions.slice(Math.max(0, index));
        return [...(this.versions[0]?.vms.values() ?? [])];
    }

    private addVersion(edit: (vms: Map<string, VmRecord>) => void): void {
        const vms = new Map(this.versions.at(-1)?.vms);
        edit(vms);
        this.versions.push({ validFromMs: this.clock.nowMs(), vms });
    }
}
