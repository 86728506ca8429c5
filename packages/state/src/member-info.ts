/** A process as it describes itself to its peers. */
export interface MemberInfo {
    readonly name: string;
    readonly role: "entry" | "scheduler";
    readonly region: string;
    readonly dataCentre: string;
    /** `ip:port` of the peer port. */
    readonly address: string;
    /** Start time in milliseconds since 1970; a restarted process has a higher one. */
    readonly incarnation: number;
    /** Grows while the process runs. */
    readonly heartbeat: number;
    readonly configRevision: number;
    /** The process is shutting down. */
    readonly leaving: boolean;
}
