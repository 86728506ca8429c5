import type { GrantedShare } from "./granted-share.js";

/** First message of an entry process to the owner of a cell. */
export interface ShareHello {
    /** Unique to each process start: a restarted process must not inherit the shares of its predecessor. */
    readonly entry: string;
    readonly report: number;
    /** Unexpired shares of this cell, each with its remaining time. */
    readonly claims: readonly GrantedShare[];
}
