/** Part of the demand that is added to it, so that a growing load need not wait for the next division. */
const DemandHeadroomFactor = 1.25;

/**
 * Max-min fair division of `total` by demand: nobody gets less than an equal part unless it asks for less, and
 * what nobody asks for is divided equally. Returns fractions whose sum is 1, or nothing when there is nobody.
 */
export const fairWeights = (demands: ReadonlyMap<string, number>, total: number): Map<string, number> => {
    const shares = new Map<string, number>();
    const ascending = [...demands].sort(([, a], [, b]) => a - b);
    let left = total;
    ascending.forEach(([name, demand], index) => {
        const share = Math.min(demand * DemandHeadroomFactor, left / (ascending.length - index));
        shares.set(name, share);
        left -= share;
    });
    const spare = left / Math.max(1, ascending.length);
    for (const [name, share] of shares) {
        shares.set(name, total === 0 ? 0 : (share + spare) / total);
    }
    return shares;
};
