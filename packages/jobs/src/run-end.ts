import type { EndKind } from "./end-kind.js";

/** How a run of a task ended. */
export interface RunEnd {
    readonly number: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}
