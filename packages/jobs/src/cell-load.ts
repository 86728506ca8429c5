/** Totals over a cell's jobs and workers. */
export interface CellLoad {
    readonly jobs: number;
    readonly runs: number;
    /** Tasks that are ready to run but have no worker: of lasting steps, of filler steps and of all others. */
    readonly waitingLasting: number;
    readonly waitingFillers: number;
    readonly waitingOthers: number;
    /** Those of them that are suspected to crash their workers, of which few start at a time. */
    readonly waitingSuspected: number;
    /** Trials of suspected tasks, with or without a run. */
    readonly trials: number;
    readonly workers: number;
    readonly reachable: number;
    /** Workers of a previous owner that have not listed their runs yet. */
    readonly unread: number;
    /** Reserved and total processors of the reachable workers. */
    readonly reserved: number;
    readonly processors: number;
}
