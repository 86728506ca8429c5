/** Value of a cell's owner key. */
export interface OwnerRecord {
    readonly node: string;
    /** Distinguishes processes that ran under the same node name. */
    readonly life: string;
    readonly address: string;
    readonly epoch: number;
}
