import type { PlacementRequest } from "./placement-request.js";
import type { WorkerView } from "./worker-view.js";

/** Whether the worker is open, not excluded, and has enough free processors, memory and accelerators for the task. */
export const hasRoom = (worker: WorkerView, request: PlacementRequest): boolean => {
    const { capacity, reserved } = worker;
    const required = request.resources;
    return (
        worker.open &&
        required.processors <= capacity.processors - reserved.processors &&
        required.memoryMb <= capacity.memoryMb - reserved.memoryMb &&
        required.accelerators <= capacity.accelerators - reserved.accelerators &&
        !request.excludedWorkers.has(worker.name)
    );
};
