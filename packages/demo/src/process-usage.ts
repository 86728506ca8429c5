/** Resources used by a process since it started. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly rssMb: number;
    readonly bytesRead: number;
    readonly bytesWritten: number;
}
