import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { plainStep } from "@samphireward/jobs/fixtures/plain-step";
import type { JobProgress } from "@samphireward/jobs/job-progress";
import t from "tap";
import { jobCodec } from "../src/job-codec.js";
import { JobIntake } from "../src/job-intake.js";
import { Metrics } from "../src/metrics.js";
import { readCellState } from "../src/read-cell-state.js";
import { ManualStore } from "./manual-store.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import { RecordingLog } from "./recording-log.js";

const { id } = oneTaskJob;

/** An intake that has taken up what a store holds for cell 0. */
const restoreFrom = async (
    items: Readonly<Record<string, string>>,
): Promise<{ scheduler: CellScheduler; intake: JobIntake; log: RecordingLog; metrics: Metrics }> => {
    const store = ManualStore.create();
    store.items = Object.entries(items).map(([key, value]) => ({
        key: `cells/0/${key}`,
        value,
        revision: 1,
    }));
    const scheduler = CellScheduler.create(2, ManualClock.create(1_000), cellLimits);
    const log = RecordingLog.create();
    const metrics = Metrics.create();
    const intake = JobIntake.create({ cell: 0, scheduler, log, metrics });
    const state = await readCellState(store, 0, NullLog.create(), new AbortController().signal);
    if (state !== undefined) {
        intake.restore(state);
    }
    return { scheduler, intake, log, metrics };
};

// Guards against a task that runs again although it is done: without its progress a job would start from the beginning,
// also when a read of all jobs or a repeated submission reports it to the owner again.
t.test("a job whose progress is unreadable is set aside and stays so", async t => {
    const text = jobCodec.encodeJob(oneTaskJob);
    for (const progress of [
        "{",
        '{"v":1,"progress":{"nextOccurrence":1,"open":[{"number":0,"steps":[{}]}]}}',
    ]) {
        const { scheduler, intake, log, metrics } = await restoreFrom({
            [`in/job/${id}`]: text,
            [`progress/${id}`]: progress,
        });
        intake.accept(text);
        t.equal(scheduler.jobs.get(id), undefined);
        t.same(log.lines, [
            { event: "job-set-aside", cell: 0, job: id, reason: "unreadable", detail: "the progress" },
        ]);
        t.match(await metrics.text(), /_jobs_set_aside_total\{reason="unreadable"\} 1\n/);
    }
});

// Guards against progress of a build with other limits that opens more tasks than the process has memory for.
t.test("a job with too many open tasks in its progress is set aside", async t => {
    const spec = {
        ...oneTaskJob,
        steps: [{ ...plainStep, count: 1_000 }],
        schedule: { occurrences: 100, firstAtMs: 0, intervalMs: 0 },
    };
    const encode = (openCount: number): string => {
        const open = Array.from({ length: openCount }, (_, number) => ({
            number,
            steps: [{ doneBits: "", marks: [] }],
        }));
        const progress: JobProgress = {
            endState: undefined,
            endedAtMs: 0,
            hasStarted: true,
            nextOccurrence: openCount,
            open,
        };
        return jobCodec.encodeProgress(progress);
    };
    for (const [openCount, isCarried] of [
        [50, true],
        [51, false],
    ] as const) {
        const { scheduler } = await restoreFrom({
            [`in/job/${id}`]: jobCodec.encodeJob(spec),
            [`progress/${id}`]: encode(openCount),
        });
        t.equal(scheduler.jobs.get(id) !== undefined, isCarried, `${openCount} occurrences`);
    }
});

// Guards against a job over the limits, stored by another build, that its owner opens because a watch reported it.
t.test("a job over the limits is set aside when it is reported", async t => {
    const { scheduler, intake, log } = await restoreFrom({});
    intake.accept(jobCodec.encodeJob({ ...oneTaskJob, steps: [{ ...plainStep, count: 1e9 }] }));
    intake.accept("{");
    intake.accept(jobCodec.encodeJob({ ...oneTaskJob, id: "00000000000000bb" }));
    t.equal(scheduler.jobs.get(id), undefined);
    t.ok(scheduler.jobs.get("00000000000000bb"));
    t.match(log.lines, [
        { event: "job-set-aside", job: id, reason: "limits" },
        { event: "job-unreadable", bytes: 1 },
    ]);
});
