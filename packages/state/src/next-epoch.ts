/** Returns the epoch after a stored one; undefined for a value that is no epoch, after which none can be told. */
export const nextEpoch = (stored: string | undefined): number | undefined => {
    const epoch = stored === undefined ? 0 : Number(stored.trim() || NaN);
    return Number.isSafeInteger(epoch) && epoch >= 0 ? epoch + 1 : undefined;
};
