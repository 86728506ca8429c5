/** A class of work in the benchmark. Sizes are declared values for one task. */
export interface SimClass {
    readonly name: string;
    readonly kind: "service" | "watch" | "batch";
    readonly processors: number;
    readonly memoryMb: number;
    /** Mean run time alone, in seconds; watches run until the end. */
    readonly meanRunSeconds: number;
    /** Part of the batch demand, in processor seconds. */
    readonly batchDemandShare: number;
    /** Multiplies the hidden effects of this class on others. */
    readonly interferenceFactor: number;
}
