import * as Schema from "effect/Schema";

/**
 * Response of an entry process to `GET /v1/metrics` (docs/admin-api.md). Histograms are compressed base64
 * HdrHistograms in microseconds.
 */
export const MetricsSnapshot = Schema.Struct({
    process: Schema.String,
    dataCentre: Schema.String,
    wallMs: Schema.Finite,
    counters: Schema.Record(Schema.String, Schema.Finite),
    routes: Schema.Record(
        Schema.String,
        Schema.Struct({
            objective: Schema.Struct({ latencyMs: Schema.Finite, ratio: Schema.Finite }),
            /** One bucket for each 10 s, retained for one hour. */
            buckets: Schema.Array(
                Schema.Struct({
                    startMs: Schema.Finite,
                    good: Schema.Finite,
                    bad: Schema.Finite,
                    histogram: Schema.String,
                }),
            ),
        }),
    ),
    pools: Schema.Record(
        Schema.String,
        Schema.Struct({
            queued: Schema.Finite,
            running: Schema.Finite,
            finished: Schema.Finite,
            failed: Schema.Finite,
            evictions: Schema.Finite,
            waitHistogram: Schema.String,
        }),
    ),
});

export type MetricsSnapshot = (typeof MetricsSnapshot)["Type"];
