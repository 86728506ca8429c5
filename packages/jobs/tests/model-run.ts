import type { EndKind } from "../src/end-kind.js";

/** A run on a model worker. */
export interface ModelRun {
    readonly task: string;
    readonly number: number;
    readonly processors: number;
    readonly endsAtMs: number;
    /** Start, from which progress is listed; undefined if the listings always show half of it. */
    readonly startedAtMs?: number;
    /** How it ends unless it is stopped; done if undefined. */
    readonly endKind?: EndKind;
}
