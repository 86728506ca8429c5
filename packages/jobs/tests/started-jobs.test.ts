import t from "tap";
import { EndKind } from "../src/end-kind.js";
import type { JobProgress } from "../src/job-progress.js";
import { JobState } from "../src/job-state.js";
import { readProgress } from "../src/read-progress.js";
import type { Run } from "../src/run.js";
import { StartOutcome } from "../src/start-outcome.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const queue = "queue";

/** Number of waiting jobs, and the state of the only job. */
const shownBy = ({ scheduler }: SchedulerHarness, id: string): readonly unknown[] => [
    scheduler.jobs.countUnstarted(queue),
    scheduler.jobs.get(id)?.state,
];

const isWaiting = [1, JobState.Queued];
const hasBegun = [0, JobState.Running];

interface StartCase {
    readonly name: string;
    readonly act: (harness: SchedulerHarness, run: Run) => void;
    readonly expected: readonly unknown[];
}

const recordStart =
    (outcome: StartOutcome) =>
    ({ scheduler }: SchedulerHarness, run: Run): void => {
        scheduler.responses.recordStart(run, outcome);
    };

const startCases: readonly StartCase[] = [
    { name: "without a response", act: () => undefined, expected: isWaiting },
    { name: "refused", act: recordStart(StartOutcome.Refused), expected: isWaiting },
    { name: "refused as invalid", act: recordStart(StartOutcome.Invalid), expected: isWaiting },
    { name: "refused by its number", act: recordStart(StartOutcome.RunNumberUsed), expected: isWaiting },
    { name: "refused without a permit", act: recordStart(StartOutcome.NoPermit), expected: isWaiting },
    {
        name: "refused by another incarnation",
        act: recordStart(StartOutcome.OtherIncarnation),
        expected: isWaiting,
    },
    { name: "fenced", act: recordStart(StartOutcome.Fenced), expected: isWaiting },
    { name: "unanswered", act: recordStart(StartOutcome.Unknown), expected: isWaiting },
    {
        name: "unanswered, stopped and not listed",
        act: (harness, run) => {
            recordStart(StartOutcome.Unknown)(harness, run);
            harness.scheduler.responses.recordStop(run.worker, run.task.name, run.number);
            harness.clock.advance(1);
            harness.reportListing(run.worker, [], []);
        },
        expected: isWaiting,
    },
    {
        name: "unanswered until the lease of a silent worker is over",
        act: (harness, run) => {
            recordStart(StartOutcome.Unknown)(harness, run);
            harness.scheduler.noteUnreachable(run.worker);
            harness.clock.advance(60_000);
            harness.planStarts();
        },
        expected: isWaiting,
    },
    { name: "confirmed", act: recordStart(StartOutcome.Started), expected: hasBegun },
    {
        name: "unanswered and listed as running",
        act: (harness, run) => {
            recordStart(StartOutcome.Unknown)(harness, run);
            harness.reportListing(run.worker, [SchedulerHarness.listedRun(run)], []);
        },
        expected: hasBegun,
    },
    {
        name: "confirmed after its worker has started again",
        act: (harness, run) => {
            harness.addUnreadWorker(run.worker.entry.id, { startedAtMs: 2 });
            recordStart(StartOutcome.Started)(harness, run);
        },
        expected: hasBegun,
    },
    ...[EndKind.Failed, EndKind.Stopped, EndKind.Lapsed].map(kind => ({
        name: `unanswered and listed as ended: ${kind}`,
        act: (harness: SchedulerHarness, run: Run): void => {
            recordStart(StartOutcome.Unknown)(harness, run);
            harness.reportEnd(run, kind);
        },
        expected: hasBegun,
    })),
];

// Guards against submissions that count as started although no worker has begun a task of them: callers were shown far fewer
// waiting submissions than there were, and the state "running", while a worker refused the starts.
t.test("a job has started once a worker has begun one of its tasks", t => {
    for (const { name, act, expected } of startCases) {
        const harness = SchedulerHarness.create();
        harness.addWorker("w1");
        const { id } = harness.submit({});
        t.same(shownBy(harness, id), isWaiting, `${name}: before`);
        const [run] = harness.planStarts();
        t.ok(run);
        if (run !== undefined) {
            act(harness, run);
            t.same(shownBy(harness, id), expected, name);
        }
    }
    t.end();
});

// Guards against a job that still counts as waiting although the listing shows a run of it: an earlier one than the owner
// has recorded there.
t.test("a listed run of another number shows that its job has started", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1");
    const { id } = harness.submit({});
    const [run] = harness.planStarts();
    t.ok(run);
    if (run !== undefined) {
        const listed = { ...SchedulerHarness.listedRun(run), number: run.number + 1 };
        harness.reportListing(worker, [listed], []);
        t.same(shownBy(harness, id), hasBegun);
    }
    t.end();
});

/** Progress as an earlier build stored it, with `hasStarted` set by a planned start. */
const storedByEarlierBuild = (fields: Partial<JobProgress> = {}): JobProgress => ({
    endState: undefined,
    endedAtMs: 0,
    hasStarted: true,
    nextOccurrence: 1,
    open: [{ number: 0, steps: [{ doneBits: "0", marks: [] }] }],
    ...fields,
});

const withMark = (mark: object): JobProgress =>
    storedByEarlierBuild({
        open: [
            {
                number: 0,
                steps: [
                    {
                        doneBits: "0",
                        marks: [{ index: 0, failedRuns: [], lastRun: 1, checkpoint: "", ...mark }],
                    },
                ],
            },
        ],
    });

// Guards against a next owner that takes over the mistake of an earlier build, and against one that counts jobs as waiting
// which have begun.
t.test("the next owner takes a job for started by what the stored progress shows", t => {
    const cases: readonly [name: string, progress: JobProgress, expected: readonly unknown[]][] = [
        ["not started", storedByEarlierBuild({ hasStarted: false }), isWaiting],
        ["a planned start", storedByEarlierBuild(), isWaiting],
        ["a run number without an end", withMark({}), isWaiting],
        ["confirmed", storedByEarlierBuild({ isStartConfirmed: true }), hasBegun],
        ["a failed run", withMark({ failedRuns: [1] }), hasBegun],
        ["a checkpoint", withMark({ checkpoint: "c" }), hasBegun],
        ["points of suspicion", withMark({ suspicion: 1 }), hasBegun],
        [
            "a task that is done",
            storedByEarlierBuild({ open: [{ number: 0, steps: [{ doneBits: "1", marks: [] }] }] }),
            hasBegun,
        ],
        ["an occurrence that is done", storedByEarlierBuild({ nextOccurrence: 1, open: [] }), hasBegun],
    ];
    for (const [name, progress, expected] of cases) {
        const harness = SchedulerHarness.create(2);
        const schedule = { occurrences: 2, firstAtMs: harness.clock.wallMs(), intervalMs: 60_000 };
        const spec = { ...harness.makeJob({}, {}), schedule };
        harness.inherit(spec, progress);
        t.same(shownBy(harness, spec.id), expected, name);
    }
    t.end();
});

// Guards against a started job that the next owner counts as waiting, for lack of an end of its tasks.
t.test("the progress of a started job says so to the next owner", t => {
    for (const outcome of [StartOutcome.Started, StartOutcome.Unknown]) {
        const harness = SchedulerHarness.create();
        harness.addWorker("w1");
        const spec = harness.submit({});
        const [run] = harness.planStarts();
        const job = harness.scheduler.jobs.get(spec.id);
        t.ok(run && job);
        if (run !== undefined && job !== undefined) {
            harness.scheduler.responses.recordStart(run, outcome);
            const next = SchedulerHarness.create(2);
            next.inherit(spec, readProgress(job));
            t.same(shownBy(next, spec.id), shownBy(harness, spec.id), outcome);
        }
    }
    t.end();
});
