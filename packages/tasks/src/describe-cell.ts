import { WorkerHealth } from "@samphireward/placement/worker-health";
import type { CellStatus } from "./cell-status.js";
import { countTasks } from "./count-tasks.js";
import type { OwnerCore } from "./owner-core.js";
import type { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";
import type { WorkerStatus } from "./worker-status.js";

const stateOf = (core: OwnerCore, { entry, state }: WorkerLink): WorkerStatus["state"] => {
    if (state.isGone) {
        return "gone";
    }
    if (state.isLeaving) {
        return "leaving";
    }
    const mode = core.state.workerMode(entry.name);
    const health = core.quarantine.health(entry.name);
    if (mode === WorkerMode.Drained) {
        return "drained";
    }
    if (mode === WorkerMode.Quarantined || health === WorkerHealth.Quarantined) {
        return "quarantined";
    }
    if (!state.isUsable) {
        return "unreachable";
    }
    return health === WorkerHealth.Probation ? "probation" : "open";
};

/** Builds the status of the cell and its workers, for operators. */
export const describeCell = (core: OwnerCore): CellStatus => {
    const workers: WorkerStatus[] = [];
    for (const link of core.workers.all) {
        const { name, rack, capacity, reserved, taskCount } = link.entry;
        workers.push({ name, rack, state: stateOf(core, link), capacity, reserved, tasks: taskCount });
    }
    let queued = 0;
    let running = 0;
    for (const counts of countTasks(core.state.tasks.values()).values()) {
        queued += counts.queued;
        running += counts.running;
    }
    return { workers, queued, running };
};
