/** A class of work in the benchmark. Its resources are the declared values of one task. */
export interface SimClass {
    readonly name: string;
    readonly kind: "service" | "watch" | "batch";
    readonly processors: number;
    readonly memoryMb: number;
    /** Mean run time without interference, in seconds; watches run until the end. */
    readonly meanRunSeconds: number;
    /** Share of the batch demand, measured in processor seconds. */
    readonly batchDemandShare: number;
    /** Multiplies the true effects of this class on others. */
    readonly interferenceFactor: number;
}
