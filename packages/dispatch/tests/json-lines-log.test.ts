import { ManualClock } from "@samphireward/core/manual-clock";
import t from "tap";
import { JsonLinesLog } from "../src/json-lines-log.js";
import { Metrics } from "../src/metrics.js";

const MaxLinesPerSecond = 400;

/** A sink that keeps what is written. */
class RecordingSink {
    readonly writableNeedDrain = false;
    text = "";

    static create(): RecordingSink {
        return new RecordingSink();
    }

    write(text: string): boolean {
        this.text += text;
        return true;
    }

    /** Number of lines by event. */
    get counts(): Readonly<Record<string, number>> {
        const counts: Record<string, number> = {};
        for (const line of this.text.split("\n").filter(each => each !== "")) {
            const { event } = JSON.parse(line) as { readonly event: string };
            counts[event] = (counts[event] ?? 0) + 1;
        }
        return counts;
    }
}

// Guards against an incident without a trace of its cause: an owner that starts 800 tasks a second dropped its once-a-second
// lines about its load, as they came after the lines of that second's starts.
t.test("lines for each task do not displace the lines about the cell", t => {
    const clock = ManualClock.create();
    const sink = RecordingSink.create();
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
    const sink = RecordingSink.create();
    const log = JsonLinesLog.create("node", ManualClock.create(), sink, Metrics.create());
    for (let index = 0; index < 2 * MaxLinesPerSecond; index++) {
        log.write("worker-seen", { worker: `w${index}` });
    }
    log.flush();
    t.equal(sink.counts["worker-seen"], MaxLinesPerSecond);
    t.end();
});
