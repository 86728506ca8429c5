/** A worker's service endpoint, with the limits granted to an entry process. */
export interface Target {
    readonly worker: string;
    /** `ip:port` */
    readonly serviceAddress: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Slots and connections granted to this entry process; 0 if the share has expired. */
    readonly slots: number;
    readonly connections: number;
    readonly leaving: boolean;
}
