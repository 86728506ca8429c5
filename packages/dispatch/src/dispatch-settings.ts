import type { ServerLimits } from "@samphireward/core/server-limits";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import type { StartOrderName } from "@samphireward/jobs/start-order-name";

/** Settings of a process, independent of the platform's names and formats. */
export interface DispatchSettings {
    readonly node: string;
    readonly vmAddress: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Address that serves calls from other processes of the system. */
    readonly peerAddress: string;
    /** Limits of the server for these calls; without them, those of the smallest VM. */
    readonly peerLimits?: ServerLimits;
    /** Cores that the process may use. */
    readonly processors: number;
    readonly limits: CellLimits;
    /**
     * Longest time, in milliseconds, after which a request to evacuate a data centre has to be in force; absent if there are
     * no such requests. Only its presence has an effect: a request is read within 2 s whatever the value is.
     */
    readonly evacuationMs?: number | undefined;
    /** Order in which the tasks of owned cells start; by deadline if absent. */
    readonly startOrder?: StartOrderName | undefined;
    /** Whether jobs whose results could not be of use any more are refused; they are not if absent. */
    readonly refusesHopeless?: boolean | undefined;
}
