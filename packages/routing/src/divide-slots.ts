/** One entry process in a division: what it had, and its fractional quota of the worker. */
interface EntryQuota {
    readonly previous: number;
    readonly quota: number;
    /** Orders parts that are equal otherwise; differs between workers so that rounding favours nobody. */
    readonly tieBreak: number;
}

/**
 * Rounds quotas to whole slots whose sum is at most `total`. A part stays as it was while that is within one
 * slot of its quota, so that small changes of demand move no slots.
 */
export const divideSlots = (parts: readonly EntryQuota[], total: number): number[] => {
    const slots = parts.map(({ previous, quota }) =>
        Math.min(Math.ceil(quota), Math.max(Math.floor(quota), previous)),
    );
    const excess = (index: number): number => (slots[index] ?? 0) - (parts[index]?.quota ?? 0);
    const order = parts.map((_, index) => index);
    const tie = (index: number): number => parts[index]?.tieBreak ?? 0;
    let sum = slots.reduce((a, b) => a + b, 0);
    while (sum > total) {
        const used = order.filter(index => (slots[index] ?? 0) > 0);
        const most = used.reduce((a, b) =>
            excess(b) > excess(a) || (excess(b) === excess(a) && tie(b) > tie(a)) ? b : a,
        );
        slots[most] = (slots[most] ?? 0) - 1;
        sum -= 1;
    }
    while (sum < total && order.length > 0) {
        const least = order.reduce((a, b) =>
            excess(b) < excess(a) || (excess(b) === excess(a) && tie(b) < tie(a)) ? b : a,
        );
        slots[least] = (slots[least] ?? 0) + 1;
        sum += 1;
    }
    return slots;
};
