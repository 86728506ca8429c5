import { LatencyRecorder } from "@samphireward/core/latency-recorder";

/** Requests of one route within one interval. */
export class MetricsBucket {
    private good = 0;
    private bad = 0;
    private readonly latency = LatencyRecorder.create();

    private constructor(readonly startMs: number) {}

    /** `startMs` is wall-clock time in milliseconds since 1970. */
    static create(startMs: number): MetricsBucket {
        return new MetricsBucket(startMs);
    }

    record(latencyMs: number, good: boolean): void {
        if (good) {
            this.good += 1;
        } else {
            this.bad += 1;
        }
        this.latency.record(latencyMs);
    }

    encode(): EncodedBucket {
        return { startMs: this.startMs, good: this.good, bad: this.bad, histogram: this.latency.encode() };
    }
}

/** A bucket as the administration API returns it. */
interface EncodedBucket {
    readonly startMs: number;
    readonly good: number;
    readonly bad: number;
    /** Compressed base64 HdrHistogram in microseconds. */
    readonly histogram: string;
}
