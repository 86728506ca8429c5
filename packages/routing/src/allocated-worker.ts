/** A worker of the cell whose slots and connections are divided among the entry processes. */
export interface AllocatedWorker {
    readonly worker: string;
    /** `ip:port` */
    readonly serviceAddress: string;
    readonly slots: number;
    readonly connections: number;
    /** A leaving worker gets no new grants; its existing shares run until they expire. */
    readonly leaving: boolean;
}
