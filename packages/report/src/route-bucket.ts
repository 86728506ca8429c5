import type { LatencyRecorder } from "@samphireward/core/latency-recorder";

/** Requests of one route in an interval of 10 s, merged over all processes. */
export interface RouteBucket {
    readonly startMs: number;
    readonly good: number;
    readonly bad: number;
    readonly latency: LatencyRecorder;
}
