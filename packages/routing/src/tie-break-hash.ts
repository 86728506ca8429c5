/** Hash of a worker's and an entry's name (32-bit FNV-1a), used to spread rounding over the workers. */
export const tieBreakHash = (worker: string, entry: string): number => {
    let hash = 0x811c9dc5;
    for (const char of `${worker}/${entry}`) {
        hash = Math.imul(hash ^ (char.codePointAt(0) ?? 0), 0x01000193);
    }
    return hash >>> 0;
};
