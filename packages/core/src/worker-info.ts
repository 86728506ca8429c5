import type { Resources } from "./resources.js";

/** A worker as the platform's VM directory lists it. */
export interface WorkerInfo {
    readonly name: string;
    /** `ip:port` of the task port (docs/PLATFORM.md). */
    readonly taskAddress: string;
    /** `ip:port` of the service port for requests. */
    readonly serviceAddress: string;
    readonly dataCentre: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Whether the directory has been told that the VM will be removed. */
    readonly leaving: boolean;
}
