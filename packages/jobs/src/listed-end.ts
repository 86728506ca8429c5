import type { EndKind } from "./end-kind.js";

/** An end as its worker lists it, until it is acknowledged. */
export interface ListedEnd {
    /** Number of the end in this life of the worker, from 1. */
    readonly sequence: number;
    readonly task: string;
    readonly number: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}
