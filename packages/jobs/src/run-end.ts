import type { EndKind } from "./end-kind.js";
import type { EndReason } from "./end-reason.js";

/** The end of a run of a task. */
export interface RunEnd {
    readonly number: number;
    readonly kind: EndKind;
    readonly checkpoint: string;
    readonly reason: EndReason;
    /**
     * For `EndReason.Restarted`, the start of the worker's new incarnation, as wall-clock time in milliseconds since
     * 1970.
     */
    readonly restartedAtMs?: number | undefined;
}
