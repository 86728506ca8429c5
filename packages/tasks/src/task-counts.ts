/** Numbers of the tasks of a pool or a cell that have not ended. */
export interface TaskCounts {
    /** Tasks that wait for a worker, or for a worker's answer to their start. */
    queued: number;
    /** Tasks whose start a worker has confirmed. */
    running: number;
}
