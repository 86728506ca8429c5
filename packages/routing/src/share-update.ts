import type { GrantedShare } from "./granted-share.js";

/** All shares of one entry process in one cell. The share of a worker that is not listed is withdrawn. */
export interface ShareUpdate {
    readonly cell: string;
    readonly epoch: number;
    /** Increases with each update to this entry process in this epoch; at least 1. */
    readonly sequence: number;
    /**
     * Number of the report that the update answers. The shares expire `expiresInMs` after that report was sent, so
     * that a delayed update is never valid for longer than the owner assumes.
     */
    readonly report: number;
    readonly shares: readonly GrantedShare[];
    /** Total slots that the entry process will get once the others have given up their excess slots. */
    readonly plannedSlots: number;
}
