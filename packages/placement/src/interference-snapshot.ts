/** Estimates for one affected class in one load band. */
type BandSnapshot = readonly (readonly [neighbour: string, effect: number, variance: number])[];

/** Stored estimates of an interference model, by affected class and load band; a new owner restores them. */
export type InterferenceSnapshot = Readonly<Record<string, readonly BandSnapshot[]>>;
