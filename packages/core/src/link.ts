/** The link between two regions. `bitsPerSecond` bounds the requests' traffic in each direction. */
export interface Link {
    readonly name: string;
    readonly between: readonly [region: string, region: string];
    readonly bitsPerSecond: number;
}
