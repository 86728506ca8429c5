import type { Resources } from "@samphireward/core/resources";

/** What a worker says of itself in its registration. */
export interface WorkerEntry {
    readonly id: string;
    /** Wall-clock time of its start, in milliseconds since 1970: tells lives of the same id apart. */
    readonly startedAtMs: number;
    readonly address: string;
    readonly service: string;
    readonly zone: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly isDraining: boolean;
}
