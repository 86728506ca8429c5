/** What a process has used so far. */
export interface ProcessUsage {
    readonly cpuMs: number;
    readonly rssMb: number;
    readonly bytesRead: number;
    readonly bytesWritten: number;
}
