import type { PairSnapshot } from "./pair-snapshot.js";

/** Stored form of the learned interference between images. */
export interface EffectsSnapshot {
    /** Mean headroom of each serving image in the absence of fillers. */
    readonly headrooms: Readonly<Record<string, number>>;
    readonly pairs: PairSnapshot;
}
