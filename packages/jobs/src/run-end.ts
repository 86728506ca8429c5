import type { EndKind } from "./end-kind.js";

/** The end of a run of a task. */
export interface RunEnd {
    readonly number: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
}
