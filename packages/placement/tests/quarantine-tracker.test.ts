import fc from "fast-check";
import t from "tap";
import { QuarantineTracker } from "../src/quarantine-tracker.js";
import type { QuarantineSettings } from "../src/quarantine-settings.js";
import { WorkerHealth } from "../src/worker-health.js";

const { Normal, Probation, Quarantined } = WorkerHealth;
const workers = Array.from({ length: 20 }, (_, index) => `w${index}`);

const createTracker = (settings: Partial<QuarantineSettings> = {}): QuarantineTracker => {
    const tracker = QuarantineTracker.create(settings);
    tracker.setWorkers(workers);
    return tracker;
};

/** `f:w0:j1` fails job j1 on w0, `s:` succeeds, `t:<ms>` refreshes at a time. */
const run = (tracker: QuarantineTracker, steps: string): QuarantineTracker => {
    let nowMs = 0;
    for (const [kind = "", worker = "", job = ""] of steps.split(" ").map(step => step.split(":"))) {
        if (kind === "f") {
            tracker.recordFailure(worker, job, nowMs);
        } else if (kind === "s") {
            tracker.recordSuccess(worker, job);
        } else {
            nowMs = Number(worker);
            tracker.refresh(nowMs);
        }
    }
    return tracker;
};

const broken = "f:w0:a f:w0:b f:w0:c";

// Guards against workers blamed for bad jobs, and against bad workers that go on failing good jobs.
t.test("health of w0", t => {
    const cases: { name: string; steps: string; health: WorkerHealth }[] = [
        { name: "three different jobs in a row", steps: broken, health: Quarantined },
        { name: "the same job three times", steps: "f:w0:a f:w0:a f:w0:a", health: Normal },
        { name: "a success in between", steps: "f:w0:a f:w0:b s:w0:x f:w0:c", health: Normal },
        { name: "a job that failed elsewhere before", steps: "f:w1:a f:w0:a f:w0:b f:w0:c", health: Normal },
        { name: "a job that fails elsewhere later", steps: `${broken} f:w1:a`, health: Normal },
        { name: "quarantine runs", steps: `${broken} t:59999`, health: Quarantined },
        { name: "probation", steps: `${broken} t:60000`, health: Probation },
        { name: "failed probation", steps: `${broken} t:60000 f:w0:d t:179999`, health: Quarantined },
        {
            name: "second quarantine is twice as long",
            steps: `${broken} t:60000 f:w0:d t:180000`,
            health: Probation,
        },
        { name: "bad job on probation", steps: `${broken} t:60000 f:w1:d f:w0:d`, health: Probation },
        { name: "passed probation", steps: `${broken} t:60000 s:w0:d s:w0:e s:w0:f`, health: Normal },
        { name: "one job does not pass", steps: `${broken} t:60000 s:w0:d s:w0:d s:w0:d`, health: Probation },
    ];
    for (const { name, steps, health } of cases) {
        t.equal(run(createTracker(), steps).health("w0"), health, name);
    }
    t.end();
});

// Guards against a probation that takes as many tasks as a normal worker.
t.test("placement by health", t => {
    const tracker = run(createTracker(), broken);
    t.notOk(tracker.mayPlace("w0", 0));
    tracker.refresh(60_000);
    t.ok(tracker.mayPlace("w0", 0));
    t.notOk(tracker.mayPlace("w0", 1));
    t.ok(tracker.mayPlace("w1", 5));
    t.end();
});

// Guards against an operator's decision that is undone by a timer or refused by the limit.
t.test("manual quarantine and release", t => {
    const tracker = createTracker();
    workers.slice(0, 5).forEach(worker => tracker.quarantine(worker));
    tracker.refresh(1e9);
    t.equal(tracker.health("w0"), Quarantined);
    run(tracker, "f:w9:a f:w9:b f:w9:c");
    t.equal(tracker.health("w9"), Normal, "manual quarantines count against the limit");
    workers.slice(0, 5).forEach(worker => tracker.release(worker));
    t.equal(tracker.health("w0"), Normal);
    tracker.refresh(0);
    t.equal(tracker.health("w9"), Quarantined, "a place under the limit has become free");
    t.end();
});

const event = fc.tuple(
    fc.constantFrom("f", "f", "f", "f", "f", "f", "f", "s", "t"),
    fc.integer({ min: 0, max: 5 }),
    fc.integer({ min: 0, max: 400 }),
);

const exceedsLimit = (events: readonly [string, number, number][], maxShare: number): boolean => {
    const tracker = createTracker({ maxQuarantinedShare: maxShare });
    return events.some(([kind, worker, job], index) => {
        run(tracker, kind === "t" ? `t:${index * 10_000}` : `${kind}:w${worker}:j${job}`);
        return workers.filter(name => tracker.health(name) !== Normal).length > 2;
    });
};

// Guards against a wave of bad jobs that empties the cell: 10% of 20 workers are 2.
t.test("the limit holds, and the property catches a limit that is too high", t => {
    const events = fc.array(event, { maxLength: 300, size: "max" });
    const holds = (maxShare: number) => (): void =>
        fc.assert(
            fc.property(events, events => !exceedsLimit(events, maxShare)),
            { seed: 12, numRuns: 300 },
        );
    t.doesNotThrow(holds(0.1));
    t.throws(holds(0.2));
    t.end();
});
