import type { GrantedShare } from "./granted-share.js";

/** First message of an entry process to the owner of a cell. */
export interface ShareHello {
    /** Unique for each process start: a restarted process must not inherit the shares of its predecessor. */
    readonly entry: string;
    readonly report: number;
    /** Unexpired shares of this cell with the time that is left for each. */
    readonly claims: readonly GrantedShare[];
}
