import type { Clock } from "@samphireward/core/clock";
import { EventLog } from "./event-log.js";
import type { Metrics } from "./metrics.js";

const FlushIntervalMs = 100;
/** Rate limit of a process; lines above it are counted and dropped. */
const MaxLinesPerSecond = 400;
/** Events with a line for each task or request. At a high load they alone exceed the rate limit. */
const FrequentEvents: ReadonlySet<string> = new Set([
    "start",
    "stop",
    "end",
    "end-ignored",
    "copy",
    "request",
]);
/** Part of the rate limit that frequent events leave to the others, which explain what they have in common. */
const ReservedLines = 80;
/** Length of the lines that are kept while the sink accepts no data; about 10 s at the rate limit. */
const MaxBufferedLength = 1_000_000;

/** The part of a writable stream that the log uses. */
interface LineSink {
    write(text: string): boolean;
    readonly writableNeedDrain: boolean;
}

/**
 * Buffers JSON lines and writes them in batches while the sink accepts data. Drops and counts lines above the rate
 * limit, and those for which the buffer has no room.
 */
export class JsonLinesLog extends EventLog {
    private readonly lines: string[] = [];
    private bufferedLength = 0;
    private lineBudget = MaxLinesPerSecond;
    private refilledAtMs: number;
    private dropped = 0;

    private constructor(
        private readonly node: string,
        private readonly clock: Clock,
        private readonly sink: LineSink,
        private readonly metrics: Metrics,
    ) {
        super();
        this.refilledAtMs = clock.nowMs();
    }

    static create(node: string, clock: Clock, sink: LineSink, metrics: Metrics): JsonLinesLog {
        const log = new JsonLinesLog(node, clock, sink, metrics);
        setInterval(() => log.flush(), FlushIntervalMs).unref();
        return log;
    }

    override write(
        event: string,
        fields: Readonly<Record<string, string | number | boolean | undefined>>,
    ): void {
        this.refill();
        if (this.lineBudget < (FrequentEvents.has(event) ? ReservedLines : 0) + 1) {
            this.drop();
            return;
        }
        this.lineBudget--;
        const line = { time: Math.round(this.clock.wallMs()), node: this.node, event, ...fields };
        const text = JSON.stringify(line);
        if (this.bufferedLength + text.length > MaxBufferedLength) {
            this.drop();
            return;
        }
        this.lines.push(text);
        this.bufferedLength += text.length;
    }

    flush(): void {
        if (this.sink.writableNeedDrain || (this.lines.length === 0 && this.dropped === 0)) {
            return;
        }
        if (this.dropped > 0) {
            const line = { time: Math.round(this.clock.wallMs()), node: this.node, event: "lines-dropped" };
            this.lines.push(JSON.stringify({ ...line, count: this.dropped }));
            this.dropped = 0;
        }
        this.sink.write(`${this.lines.join("\n")}\n`);
        this.lines.length = 0;
        this.bufferedLength = 0;
    }

    private drop(): void {
        this.dropped++;
        this.metrics.droppedLines.inc();
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        const addedLines = ((nowMs - this.refilledAtMs) / 1_000) * MaxLinesPerSecond;
        this.lineBudget = Math.min(MaxLinesPerSecond, this.lineBudget + addedLines);
        this.refilledAtMs = nowMs;
    }
}
