import { createHash } from "node:crypto";

const weight = (key: string, candidate: string): bigint =>
    createHash("sha256").update(candidate).update("\0").update(key).digest().readBigUInt64BE();

/**
 * Rendezvous (highest random weight) hashing: every process picks the same candidate for a key, and removing
 * a candidate moves only the keys that were assigned to it. Returns `undefined` when there are no candidates.
 */
export const rendezvousPick = (key: string, candidates: readonly string[]): string | undefined => {
    let best: string | undefined;
    let bestWeight = -1n;
    for (const candidate of candidates) {
        const candidateWeight = weight(key, candidate);
        if (candidateWeight > bestWeight) {
            best = candidate;
            bestWeight = candidateWeight;
        }
    }
    return best;
};
