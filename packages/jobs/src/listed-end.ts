import type { EndKind } from "./end-kind.js";

/** The end of a run in a worker's listing; workers repeat it until it is acknowledged. */
export interface ListedEnd {
    /** Sequence number of the end within this incarnation of the worker, from 1. */
    readonly sequence: number;
    readonly task: string;
    readonly number: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}
