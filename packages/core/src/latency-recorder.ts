import type { Histogram } from "hdr-histogram-js";
import { build, decodeFromCompressedBase64, encodeIntoCompressedBase64 } from "hdr-histogram-js";

const MicrosecondsPerMs = 1000;
const MaxLatencyUs = 60 * 60 * 1_000_000;

/** Latency histogram in microseconds with 3 significant digits; can be merged across processes. */
export class LatencyRecorder {
    private constructor(private readonly histogram: Histogram) {}

    static create(): LatencyRecorder {
        return new LatencyRecorder(
            build({
                lowestDiscernibleValue: 1,
                highestTrackableValue: MaxLatencyUs,
                numberOfSignificantValueDigits: 3,
                autoResize: true,
                useWebAssembly: false,
            }),
        );
    }

    /** Decodes the output of `encode`. */
    static decode(text: string): LatencyRecorder {
        const recorder = LatencyRecorder.create();
        recorder.histogram.add(decodeFromCompressedBase64(text, 64, false));
        return recorder;
    }

    record(latencyMs: number): void {
        this.histogram.recordValue(
            Math.min(MaxLatencyUs, Math.max(1, Math.round(latencyMs * MicrosecondsPerMs))),
        );
    }

    merge(other: LatencyRecorder): void {
        this.histogram.add(other.histogram);
    }

    get count(): number {
        return this.histogram.totalCount;
    }

    /** Latency in milliseconds at a percentile from 0 to 100. */
    percentileMs(percentile: number): number {
        return this.histogram.getValueAtPercentile(percentile) / MicrosecondsPerMs;
    }

    /** Encodes the histogram as compressed base64 text, for the protocol and the report. */
    encode(): string {
        return encodeIntoCompressedBase64(this.histogram);
    }
}
