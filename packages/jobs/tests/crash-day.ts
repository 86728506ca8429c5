/** Crashes of workers that no task has caused, at regular times. */
interface UnrelatedLosses {
    readonly everyMs: number;
    /** Share of the workers that crash each time, 0 to 1. */
    readonly share: number;
    /** Whole racks crash, as many as come closest to the share, in place of workers drawn at random. */
    readonly byRack?: boolean;
    readonly downMs: number;
    /** Calls to a crashed worker stay without an answer; they are refused otherwise. */
    readonly isDark: boolean;
}

/** Workers that no call reaches for 5 to 9 s, at regular times. */
interface Cuts {
    readonly everyMs: number;
    /** Share of the workers that are cut off each time, 0 to 1. */
    readonly share: number;
    /** Share of the cut workers that crash meanwhile and come back as another incarnation, 0 to 1. */
    readonly crashShare: number;
}

/** What happens on a day of the model, beside the crashes by tasks. */
export interface CrashDay {
    /** Share of the jobs whose first task crashes each worker that starts it. */
    readonly deadlyShare: number;
    /** Probability, for each tick, that another owner takes over. */
    readonly takeOvers?: number;
    /** Workers come back under the id that they had. */
    readonly keepsIds?: boolean;
    /** Time at which all workers of the first rack crash. */
    readonly rackLostAtMs?: number;
    /** Time at which a third of the workers are cut off for 9 s. */
    readonly cutAtMs?: number;
    readonly losses?: UnrelatedLosses;
    readonly cuts?: Cuts;
    /** Time at which losses, cuts and changes of owner end. */
    readonly faultsEndMs?: number;
    /** Workers list their runs every 1.5 s and do not answer while they are cut off, as real workers; each tick otherwise. */
    readonly hasRealHeartbeats?: boolean;
    /** Length of the day. */
    readonly durationMs?: number;
    /** Fields of the stored progress that a deliberately defective owner does not restore. */
    readonly forgets?: readonly string[];
}
