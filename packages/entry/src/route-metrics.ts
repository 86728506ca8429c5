import type { Clock } from "@samphireward/core/clock";
import type { Route } from "@samphireward/core/route";
import { MetricsBucket } from "./metrics-bucket.js";

const BucketDurationMs = 10_000;
const MaxClosedBuckets = 360;

type EncodedBucket = ReturnType<MetricsBucket["encode"]>;

/** Closed buckets of one route, encoded, and its open bucket. */
interface RouteSeries {
    readonly objective: Route["objective"];
    readonly closed: EncodedBucket[];
    open: MetricsBucket;
}

/**
 * Service-level counts and latencies for each route in buckets of 10 s, kept for one hour. Closed buckets are
 * kept encoded: an open histogram takes about 100 KB, an encoded one less than 1 KB.
 */
export class RouteMetrics {
    private readonly series = new Map<string, RouteSeries>();

    private constructor(private readonly clock: Clock) {}

    static create(clock: Clock): RouteMetrics {
        return new RouteMetrics(clock);
    }

    /** Records one request; it is good when it was answered within the route's latency objective. */
    record(route: Route, latencyMs: number, isAnswered: boolean): void {
        const series = this.seriesOf(route);
        this.closeBucketIfExpired(series);
        series.open.record(latencyMs, isAnswered && latencyMs <= route.objective.latency);
    }

    /** All routes with their buckets, oldest first. */
    snapshot(): Record<string, unknown> {
        return Object.fromEntries(
            [...this.series].map(([name, { objective, closed, open }]) => [
                name,
                {
                    objective: { latencyMs: objective.latency, ratio: objective.ratio },
                    buckets: [...closed, open.encode()],
                },
            ]),
        );
    }

    private seriesOf(route: Route): RouteSeries {
        let series = this.series.get(route.name);
        if (series === undefined || series.objective !== route.objective) {
            // The counts of the open bucket stay; they were made by the objective of their time.
            const { closed = [], open = this.newBucket() } = series ?? {};
            series = { objective: route.objective, closed, open };
            this.series.set(route.name, series);
        }
        return series;
    }

    private closeBucketIfExpired(series: RouteSeries): void {
        if (this.clock.wallMs() < series.open.startMs + BucketDurationMs) {
            return;
        }
        series.closed.push(series.open.encode());
        series.closed.splice(0, Math.max(0, series.closed.length - MaxClosedBuckets));
        series.open = this.newBucket();
    }

    private newBucket(): MetricsBucket {
        const wallMs = this.clock.wallMs();
        return MetricsBucket.create(wallMs - (wallMs % BucketDurationMs));
    }
}
