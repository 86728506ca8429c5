import type { LatencyRecorder } from "@samphireward/core/latency-recorder";

/** Requests of one route in one interval of 10 s, over all processes. */
export interface RouteBucket {
    readonly startMs: number;
    readonly good: number;
    readonly bad: number;
    readonly latency: LatencyRecorder;
}
