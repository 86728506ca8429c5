import { allocateAddresses } from "./allocate-addresses.js";
import type { UserPlan } from "./user-plan.js";

/** Addresses of an entry VM, which runs an entry process and a scheduler process. */
interface EntryVmAddresses {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly callers: string;
    readonly admin: string;
    readonly entryPeer: string;
    readonly schedulerPeer: string;
}

/** Addresses of a worker. */
interface WorkerAddresses {
    readonly name: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly task: string;
    readonly service: string;
}

/** Loopback addresses of all processes of a user's deployment. */
export class DeploymentAddresses {
    private constructor(
        readonly store: string,
        readonly directory: string,
        readonly entryVms: readonly EntryVmAddresses[],
        readonly workers: readonly WorkerAddresses[],
    ) {}

    static create(plan: UserPlan): DeploymentAddresses {
        const workerCount = plan.dataCentres.reduce((sum, dataCentre) => sum + dataCentre.workerCount, 0);
        const free = allocateAddresses(2 + plan.entryVms * 4 + workerCount * 2);
        const takeAddress = (): string => free.pop() ?? "";
        const entryVms = Array.from({ length: plan.entryVms }, (_, index) => {
            const dataCentre = plan.dataCentres[index % plan.dataCentres.length];
            return {
                name: `vm-${index}`,
                dataCentre: dataCentre?.name ?? "",
                region: dataCentre?.region ?? "",
                callers: takeAddress(),
                admin: takeAddress(),
                entryPeer: takeAddress(),
                schedulerPeer: takeAddress(),
            };
        });
        const workers = plan.dataCentres.flatMap(dataCentre =>
            Array.from({ length: dataCentre.workerCount }, (_, index) => ({
                name: `${dataCentre.name}-w${index}`,
                dataCentre: dataCentre.name,
                rack: `${dataCentre.name}-r${Math.floor(index / plan.workersPerRack)}`,
                task: takeAddress(),
                service: takeAddress(),
            })),
        );
        return new DeploymentAddresses(takeAddress(), takeAddress(), entryVms, workers);
    }
}
