import type { CellStatus } from "./cell-status.js";
import { countTasks } from "./count-tasks.js";
import type { OwnerCore } from "./owner-core.js";
import { workerStateOf } from "./worker-state-of.js";
import type { WorkerStatus } from "./worker-status.js";

/** Builds the status of the cell and its workers, for operators. */
export const describeCell = (core: OwnerCore): CellStatus => {
    const workers: WorkerStatus[] = [];
    for (const link of core.workers.all) {
        const { name, rack, capacity, reserved, taskCount } = link.entry;
        workers.push({ name, rack, state: workerStateOf(core, link), capacity, reserved, tasks: taskCount });
    }
    let queued = 0;
    let running = 0;
    for (const counts of countTasks(core.state.tasks.values()).values()) {
        queued += counts.queued;
        running += counts.running;
    }
    return { workers, queued, running };
};
