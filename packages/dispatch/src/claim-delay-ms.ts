/** Multiple of its round trip to the store after which a process claims a free cell, so that one near the store wins. */
const RoundTrips = 8;
const MinDelayMs = 30;
const MaxDelayMs = 900;
/**
 * Claim delay of a VM without processors, which falls to 0 at `SufficientProcessors`: an owner on a small VM sends
 * its orders late.
 */
const SmallVmDelayMs = 150;
/** Cores from which the size of a VM no longer delays its claims. */
const SufficientProcessors = 1;
/** Claim delay for each cell that the process has claimed already, so that cells spread over VMs. */
const OtherCellDelayMs = 400;
/** Claim delay of the cell that a process ranks last; each process ranks the cells differently. */
const MaxRankDelayMs = 150;

/** What decides how soon a process claims a free cell. */
interface ClaimFactors {
    /** Round trip to the store, in milliseconds. */
    readonly roundTripMs: number;
    /** Cores that the process may use. */
    readonly processors: number;
    /** Other cells that the process owns or is claiming. */
    readonly otherCells: number;
    /** Rank of the cell in the process's order of preference, from 0 to 1. */
    readonly rank: number;
}

/** Time for which a process waits before it claims a free cell; the process with the shortest delay gets it. */
export const claimDelayMs = ({ roundTripMs, processors, otherCells, rank }: ClaimFactors): number => {
    const shortfall = 1 - Math.min(SufficientProcessors, processors) / SufficientProcessors;
    const delayMs = roundTripMs * RoundTrips + shortfall * SmallVmDelayMs + otherCells * OtherCellDelayMs;
    return Math.min(MaxDelayMs, Math.max(MinDelayMs, delayMs)) + rank * MaxRankDelayMs;
};
