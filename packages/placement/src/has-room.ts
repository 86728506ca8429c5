import type { PlacementRequest } from "./placement-request.js";
import type { WorkerView } from "./worker-view.js";

/** Whether a worker may take the task and has room for it in each of the three resources. */
export const hasRoom = (worker: WorkerView, request: PlacementRequest): boolean => {
    const { capacity, reserved } = worker;
    const need = request.resources;
    return (
        worker.open &&
        need.processors <= capacity.processors - reserved.processors &&
        need.memoryMb <= capacity.memoryMb - reserved.memoryMb &&
        need.accelerators <= capacity.accelerators - reserved.accelerators &&
        !request.excludedWorkers.has(worker.name)
    );
};
