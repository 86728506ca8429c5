import { freeAddresses } from "./free-addresses.js";
import type { UserPlan } from "./user-plan.js";

/** Addresses of one entry VM, which runs an entry and a scheduler process. */
interface EntryVmAddresses {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly callers: string;
    readonly admin: string;
    readonly entryPeer: string;
    readonly schedulerPeer: string;
}

/** Addresses of one worker. */
interface WorkerAddresses {
    readonly name: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly task: string;
    readonly service: string;
}

/** Every address of a user's deployment on loopback. */
export class DeploymentAddresses {
    private constructor(
        readonly store: string,
        readonly directory: string,
        readonly entryVms: readonly EntryVmAddresses[],
        readonly workers: readonly WorkerAddresses[],
    ) {}

    static create(plan: UserPlan): DeploymentAddresses {
        const workerCount = plan.zones.reduce((sum, zone) => sum + zone.workers, 0);
        const free = freeAddresses(2 + plan.entryVms * 4 + workerCount * 2);
        const take = (): string => free.pop() ?? "";
        const entryVms = Array.from({ length: plan.entryVms }, (_, index) => {
            const zone = plan.zones[index % plan.zones.length];
            return {
                name: `vm-${index}`,
                dataCentre: zone?.dataCentre ?? "",
                region: zone?.region ?? "",
                callers: take(),
                admin: take(),
                entryPeer: take(),
                schedulerPeer: take(),
            };
        });
        const workers = plan.zones.flatMap(zone =>
            Array.from({ length: zone.workers }, (_, index) => ({
                name: `${zone.dataCentre}-w${index}`,
                dataCentre: zone.dataCentre,
                rack: `${zone.dataCentre}-r${Math.floor(index / plan.workersPerRack)}`,
                task: take(),
                service: take(),
            })),
        );
        return new DeploymentAddresses(take(), take(), entryVms, workers);
    }
}
