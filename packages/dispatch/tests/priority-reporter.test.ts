import type { PriorityLoad } from "@samphireward/jobs/priority-load";
import { StartOrderName } from "@samphireward/jobs/start-order-name";
import { StartRule } from "@samphireward/jobs/start-rule";
import t from "tap";
import { Metrics } from "../src/metrics.js";
import { PriorityReporter } from "../src/priority-reporter.js";
import { RecordingLog } from "./recording-log.js";

// Guards against a line in each report, against gauges that keep an old value, and against gauges of a lost cell.
t.test("late priorities are logged when they change, and gauges follow the load", async t => {
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const scheduler = { priorityLoads: [] as readonly PriorityLoad[], startOrder: StartOrderName.Worth };
    const reporter = PriorityReporter.create({ cell: 3, log, metrics }, scheduler);
    const late = { priority: 2, waiting: new Map([[StartRule.ByWorth, 7]]), lateJobs: 4 };
    for (const loads of [[], [late], [late], [{ ...late, lateJobs: 0, waiting: new Map() }], []]) {
        scheduler.priorityLoads = loads;
        reporter.report();
        const text = await metrics.text();
        const isWaiting = text.includes('waiting_tasks{cell="3",priority="2",rule="by-worth"} 7');
        t.equal(isWaiting, loads.includes(late));
        t.equal(text.includes('late_jobs{cell="3",priority="2"} 4'), loads.includes(late));
    }
    t.match(log.lines, [
        { event: "jobs-late", cell: 3, priority: 2, jobs: 4, order: "worth" },
        { event: "jobs-in-time", cell: 3, priority: 2, jobs: 0 },
    ]);
    t.equal(log.lines.length, 2);
    reporter.close();
    t.notMatch(await metrics.text(), /cell="3"/);
});
