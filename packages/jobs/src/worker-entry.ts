import type { Resources } from "@samphireward/core/resources";

/** A worker's registration. */
export interface WorkerEntry {
    readonly id: string;
    /** Wall-clock time of its start, in milliseconds since 1970; distinguishes incarnations of the same id. */
    readonly startedAtMs: number;
    readonly address: string;
    readonly service: string;
    readonly zone: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly isDraining: boolean;
}
