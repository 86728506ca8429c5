import t from "tap";
import { LoadReporter } from "../src/load-reporter.js";
import { Metrics } from "../src/metrics.js";
import { RecordingLog } from "./recording-log.js";

const load = {
    jobs: 1,
    runs: 2,
    waitingLasting: 0,
    waitingFillers: 0,
    waitingOthers: 0,
    workers: 5,
    reachable: 3,
    unread: 0,
    reserved: 1,
    processors: 8,
};

// Guards against a loss of many workers that only a log of the same second shows.
t.test("the metrics show how many workers of each owned cell are reachable", async t => {
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    LoadReporter.create({ cell: 0, log, metrics }).report(load);
    LoadReporter.create({ cell: 1, log, metrics }).report({ ...load, reachable: 5 });
    const text = await metrics.text();
    t.match(text, /workers\{cell="0",state="reachable"\} 3\n/);
    t.match(text, /workers\{cell="0",state="unreachable"\} 2\n/);
    t.match(text, /workers\{cell="1",state="unreachable"\} 0\n/);
    t.strictSame(log.lines[0], { event: "cell-load", cell: 0, ...load });
});

// Guards against a process that reports the workers of a cell as it last saw them after it has lost the cell: the
// maintenance loop of an owner may end after the owner.
t.test("a cell that is not owned any more has no workers in the metrics", async t => {
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const reporter = LoadReporter.create({ cell: 0, log, metrics });
    reporter.report(load);
    reporter.close();
    reporter.report(load);
    t.notMatch(await metrics.text(), /workers\{/);
    t.equal(log.lines.length, 1);
});
