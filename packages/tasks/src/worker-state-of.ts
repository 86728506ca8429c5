import { WorkerHealth } from "@samphireward/placement/worker-health";
import type { OwnerCore } from "./owner-core.js";
import type { WorkerLink } from "./worker-link.js";
import { WorkerMode } from "./worker-mode.js";
import type { WorkerStatus } from "./worker-status.js";

/** State of a worker for operators: `open`, or the first reason that applies why no task is placed on it. */
export const workerStateOf = (core: OwnerCore, { entry, state }: WorkerLink): WorkerStatus["state"] => {
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
