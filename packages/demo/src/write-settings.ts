import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { stringify } from "smol-toml";
import type { DeploymentAddresses } from "./deployment-addresses.js";
import type { UserPlan } from "./user-plan.js";

const StoreTimeout = "1s";
const DirectoryLag = "1s";
const UsageLag = "2s";
const KeyRetention = "60s";

/** Writes one TOML file and returns its path. */
const writeToml = (dir: string, name: string, content: Record<string, unknown>): string => {
    const path = join(dir, `${name}.toml`);
    writeFileSync(path, stringify(content));
    return path;
};

const workerSettings = (
    plan: UserPlan,
    addresses: DeploymentAddresses,
    dataCentre: string,
): Record<string, unknown> => ({
    directory: addresses.directory,
    workers: addresses.workers
        .filter(worker => worker.dataCentre === dataCentre)
        .map(worker => ({
            name: worker.name,
            dataCentre,
            rack: worker.rack,
            taskListen: worker.task,
            serviceListen: worker.service,
            capacity: { processors: plan.processors, memoryMb: plan.memoryMb, accelerators: 0 },
            slots: 8,
            connections: 64,
            usageLag: UsageLag,
        })),
});

/** Writes the settings files of a deployment. Returns their paths by process name. */
export const writeSettings = (
    dir: string,
    plan: UserPlan,
    addresses: DeploymentAddresses,
): Map<string, string> => {
    const files = new Map<string, string>();
    const add = (name: string, content: Record<string, unknown>): void => {
        files.set(name, writeToml(dir, name, content));
    };
    add("store", { listen: addresses.store });
    add("directory", { listen: addresses.directory, lag: DirectoryLag });
    for (const dataCentre of plan.dataCentres) {
        add(`workers-${dataCentre.name}`, workerSettings(plan, addresses, dataCentre.name));
    }
    const seeds = addresses.entryVms.flatMap(vm => [vm.entryPeer, vm.schedulerPeer]);
    for (const vm of addresses.entryVms) {
        const common = {
            region: vm.region,
            dataCentre: vm.dataCentre,
            logLevel: "info",
            store: {
                address: plan.storeAddressByRegion?.[vm.region] ?? addresses.store,
                timeout: StoreTimeout,
            },
            directory: { address: addresses.directory, interval: "1s" },
        };
        add(`entry-${vm.name}`, {
            ...common,
            name: `entry-${vm.name}`,
            callers: { listen: vm.callers, drain: "1s" },
            admin: { listen: vm.admin },
            keys: { remember: KeyRetention },
            peer: { listen: vm.entryPeer, seeds: seeds.filter(seed => seed !== vm.entryPeer) },
        });
        add(`scheduler-${vm.name}`, {
            ...common,
            name: `scheduler-${vm.name}`,
            placement: plan.placement,
            peer: { listen: vm.schedulerPeer, seeds: seeds.filter(seed => seed !== vm.schedulerPeer) },
        });
    }
    return files;
};
