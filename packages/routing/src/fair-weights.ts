/** Demand is multiplied by this, so that a growing load need not wait for the next division. */
const DemandHeadroomFactor = 1.25;

/**
 * Max-min fair division of `total` by demand: each participant gets at least an equal part unless it demands less,
 * and the surplus is divided equally. Returns fractions that add up to 1, or an empty map without participants.
 */
export const fairWeights = (demands: ReadonlyMap<string, number>, total: number): Map<string, number> => {
    const shares = new Map<string, number>();
    const ascending = [...demands].sort(([, a], [, b]) => a - b);
    let remaining = total;
    ascending.forEach(([name, demand], index) => {
        const share = Math.min(demand * DemandHeadroomFactor, remaining / (ascending.length - index));
        shares.set(name, share);
        remaining -= share;
    });
    const surplusPart = remaining / Math.max(1, ascending.length);
    for (const [name, share] of shares) {
        shares.set(name, total === 0 ? 0 : (share + surplusPart) / total);
    }
    return shares;
};
