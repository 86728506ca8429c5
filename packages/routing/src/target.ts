/** A worker's service port as an entry process may use it. */
export interface Target {
    readonly worker: string;
    /** `ip:port` */
    readonly serviceAddress: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Slots and connections granted to this entry process; 0 when the shares have expired. */
    readonly slots: number;
    readonly connections: number;
    readonly leaving: boolean;
}
