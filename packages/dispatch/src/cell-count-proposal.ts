/** Workers per cell; more workers are divided over more cells. */
const WorkersPerCell = 400;
/** Workers register within one heartbeat interval of each other, about 1.5 s. */
const SettledAfterMs = 1_800;
/** Time without any worker after which the system starts with one cell, so that it accepts jobs. */
const NoWorkersMs = 10_000;
/** Time after the first registration after which the fleet counts as complete although it still grows. */
const MaxSettleMs = 6_000;

/**
 * Derives the number of cells from the number of registered workers. The number is stored once and never changes, so it
 * is derived only from a fleet that has registered completely: VMs and workers start at the same time.
 */
export class CellCountProposal {
    private workerCount = 0;
    private startedAtMs: number | undefined;
    private firstSeenAtMs: number | undefined;
    private unchangedSinceMs = 0;

    private constructor() {}

    static create(): CellCountProposal {
        return new CellCountProposal();
    }

    /**
     * Records the number of workers at a monotonic time. Returns the number of cells; undefined while more workers
     * are expected.
     */
    update(workerCount: number, nowMs: number): number | undefined {
        if (workerCount !== this.workerCount) {
            this.workerCount = workerCount;
            this.unchangedSinceMs = nowMs;
        }
        this.startedAtMs ??= nowMs;
        if (workerCount === 0) {
            return nowMs - this.startedAtMs >= NoWorkersMs ? 1 : undefined;
        }
        this.firstSeenAtMs ??= nowMs;
        const isSettled = nowMs - this.unchangedSinceMs >= SettledAfterMs;
        const isOverdue = nowMs - this.firstSeenAtMs >= MaxSettleMs;
        return isSettled || isOverdue ? Math.max(1, Math.round(workerCount / WorkersPerCell)) : undefined;
    }
}
