/** Workers per cell; more workers are divided over more cells. */
const WorkersPerCell = 400;
/** Time after which a count that has not changed is complete, and for which a fleet is watched at least. */
const SettledAfterMs = 1_800;
/** Time without any worker after which the system starts with one cell, so that it accepts jobs. */
const NoWorkersMs = 10_000;
/** Time after the first registration after which the fleet counts as complete although it still grows. */
const MaxSettleMs = 6_000;
/** Workers may register faster by this factor than on average until now: they need not start evenly. */
const MaxPaceGrowth = 2;

const cellsFor = (workerCount: number): number => Math.max(1, Math.round(workerCount / WorkersPerCell));

/**
 * Derives the number of cells from the number of registered workers. The number is stored once and never changes, but
 * VMs and workers start at the same time, the workers within a few seconds of each other. So it is derived once the
 * fleet has registered completely, or once the workers that may still register no longer change the number.
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
     * are expected that may change it.
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
        const seenForMs = nowMs - this.firstSeenAtMs;
        const isSettled = nowMs - this.unchangedSinceMs >= SettledAfterMs;
        const isDecided =
            seenForMs >= SettledAfterMs &&
            cellsFor(this.largestFleet(workerCount, seenForMs)) === cellsFor(workerCount);
        return isSettled || isDecided || seenForMs >= MaxSettleMs ? cellsFor(workerCount) : undefined;
    }

    /** Number of workers at the end of the longest wait if they register as fast as they may. */
    private largestFleet(workerCount: number, seenForMs: number): number {
        const remainingMs = Math.max(0, MaxSettleMs - seenForMs);
        return workerCount + MaxPaceGrowth * (workerCount / seenForMs) * remainingMs;
    }
}
