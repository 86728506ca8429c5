/** Estimates for pairs of images, by serving image: filler image, effect, variance. */
export type PairSnapshot = Readonly<
    Record<string, readonly (readonly [filler: string, effect: number, variance: number])[]>
>;
