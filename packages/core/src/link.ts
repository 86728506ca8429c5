/** A network link between two regions. `bitsPerSecond` limits the request traffic in each direction. */
export interface Link {
    readonly name: string;
    readonly between: readonly [region: string, region: string];
    readonly bitsPerSecond: number;
}
