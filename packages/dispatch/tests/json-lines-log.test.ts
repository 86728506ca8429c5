import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { JsonLinesLog } from "../src/json-lines-log.js";
import { Metrics } from "../src/metrics.js";

const MaxLinesPerSecond = 400;
const MaxBufferedLength = 1_000_000;

/** A sink that can be made to accept no data, as a pipe whose reader has stopped. */
class Sink {
    writableNeedDrain = false;
    text = "";

    static create(): Sink {
        return new Sink();
    }

    write(text: string): boolean {
        this.text += text;
        return !this.writableNeedDrain;
    }

    /** Number of lines by event. */
    get counts(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        this.lines.forEach(({ event }) => (counts[event] = (counts[event] ?? 0) + 1));
        return counts;
    }

    get lines(): readonly { readonly event: string; readonly count?: number }[] {
        return this.text
            .split("\n")
            .filter(line => line !== "")
            .map(line => JSON.parse(line) as { event: string; count?: number });
    }
}

// Guards against a process whose memory grows until it is killed, because nobody reads its log.
t.test("the buffer is bounded while the sink accepts no data, and the dropped lines are counted", async t => {
    const clock = ManualClock.create(1_000);
    const sink = Sink.create();
    const metrics = Metrics.create();
    const log = JsonLinesLog.create("node", clock, sink, metrics);
    sink.writableNeedDrain = true;
    const written = 40_000;
    for (let line = 0; line < written; line++) {
        clock.advance(10);
        log.write("request", { path: "x".repeat(100) });
        log.flush();
    }
    t.equal(sink.text, "", "nothing is written to a full sink");
    sink.writableNeedDrain = false;
    log.flush();
    t.ok(sink.text.length < MaxBufferedLength + 100_000, `${sink.text.length} characters`);
    const kept = sink.lines.filter(({ event }) => event === "request").length;
    t.equal(sink.lines.at(-1)?.count, written - kept);
    t.match(await metrics.text(), new RegExp(`log_lines_dropped_total ${written - kept}\n`));
    log.write("request", {});
    log.flush();
    t.equal(sink.lines.at(-1)?.event, "request", "later lines are written again");
});

// Guards against an incident without a trace of its cause: an owner that starts 800 tasks a second dropped its once-a-second
// lines about its load, as they came after the lines of that second's starts.
t.test("lines for each task do not displace the lines about the cell", t => {
    const clock = ManualClock.create();
    const sink = Sink.create();
    const log = JsonLinesLog.create("node", clock, sink, Metrics.create());
    for (let index = 0; index < 2 * MaxLinesPerSecond; index++) {
        log.write("start", { task: `t${index}` });
    }
    log.write("cell-load", { cell: 0 });
    log.flush();
    const { counts } = sink;
    t.equal(counts["cell-load"], 1);
    t.ok((counts["start"] ?? 0) < MaxLinesPerSecond, "the rate limit holds");
    t.equal(counts["lines-dropped"], 1);
    t.end();
});

// Guards against a log without a limit: lines of any kind are bounded.
t.test("other lines are limited as well", t => {
    const sink = Sink.create();
    const log = JsonLinesLog.create("node", ManualClock.create(), sink, Metrics.create());
    for (let index = 0; index < 2 * MaxLinesPerSecond; index++) {
        log.write("worker-seen", { worker: `w${index}` });
    }
    log.flush();
    t.equal(sink.counts["worker-seen"], MaxLinesPerSecond);
    t.end();
});
