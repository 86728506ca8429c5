/** One entry process in a division: its previous slots and its fractional quota of the worker's slots. */
interface EntryQuota {
    readonly previousSlots: number;
    readonly quotaSlots: number;
    /** Orders quotas that are otherwise equal; differs between workers so that rounding favours no entry process. */
    readonly tieBreak: number;
}

/**
 * Rounds quotas to whole slots that add up to `total`. An entry process keeps its previous slots while they are
 * within one slot of its quota, so that small changes in demand move no slots.
 */
export const divideSlots = (quotas: readonly EntryQuota[], total: number): number[] => {
    const slots = quotas.map(({ previousSlots, quotaSlots }) =>
        Math.min(Math.ceil(quotaSlots), Math.max(Math.floor(quotaSlots), previousSlots)),
    );
    const excessOf = (index: number): number => (slots[index] ?? 0) - (quotas[index]?.quotaSlots ?? 0);
    const order = quotas.map((_, index) => index);
    const tieBreakOf = (index: number): number => quotas[index]?.tieBreak ?? 0;
    let sum = slots.reduce((a, b) => a + b, 0);
    while (sum > total) {
        const nonEmpty = order.filter(index => (slots[index] ?? 0) > 0);
        const most = nonEmpty.reduce((a, b) =>
            excessOf(b) > excessOf(a) || (excessOf(b) === excessOf(a) && tieBreakOf(b) > tieBreakOf(a))
                ? b
                : a,
        );
        slots[most] = (slots[most] ?? 0) - 1;
        sum -= 1;
    }
    while (sum < total && order.length > 0) {
        const least = order.reduce((a, b) =>
            excessOf(b) < excessOf(a) || (excessOf(b) === excessOf(a) && tieBreakOf(b) < tieBreakOf(a))
                ? b
                : a,
        );
        slots[least] = (slots[least] ?? 0) + 1;
        sum += 1;
    }
    return slots;
};
