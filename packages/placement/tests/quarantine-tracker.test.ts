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

/** Runs steps: `f:w0:j1` is a failure of job j1 on w0, `s:w0:j1` a success, `t:<ms>` a refresh at that time. */
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

const quarantineW0 = "f:w0:a f:w0:b f:w0:c";

// Guards against workers that are quarantined for faulty jobs, and faulty workers that keep failing other jobs.
t.test("health after failures and successes", t => {
    const cases: { name: string; steps: string; health: WorkerHealth }[] = [
        { name: "three different jobs in a row", steps: quarantineW0, health: Quarantined },
        { name: "the same job three times", steps: "f:w0:a f:w0:a f:w0:a", health: Normal },
        { name: "a success in between", steps: "f:w0:a f:w0:b s:w0:x f:w0:c", health: Normal },
        { name: "a job that failed elsewhere before", steps: "f:w1:a f:w0:a f:w0:b f:w0:c", health: Normal },
        { name: "a job that fails elsewhere later", steps: `${quarantineW0} f:w1:a`, health: Normal },
        { name: "quarantine has not expired", steps: `${quarantineW0} t:59999`, health: Quarantined },
        { name: "probation after quarantine", steps: `${quarantineW0} t:60000`, health: Probation },
        { name: "failed probation", steps: `${quarantineW0} t:60000 f:w0:d t:179999`, health: Quarantined },
        {
            name: "second quarantine is twice as long",
            steps: `${quarantineW0} t:60000 f:w0:d t:180000`,
            health: Probation,
        },
        {
            name: "faulty job on probation",
            steps: `${quarantineW0} t:60000 f:w1:d f:w0:d`,
            health: Probation,
        },
        { name: "passed probation", steps: `${quarantineW0} t:60000 s:w0:d s:w0:e s:w0:f`, health: Normal },
        {
            name: "successes of a single job do not pass probation",
            steps: `${quarantineW0} t:60000 s:w0:d s:w0:d s:w0:d`,
            health: Probation,
        },
    ];
    for (const { name, steps, health } of cases) {
        t.equal(run(createTracker(), steps).health("w0"), health, name);
    }
    t.end();
});

// Guards against a worker on probation that takes as many tasks as a normal one.
t.test("a worker on probation takes one task at a time", t => {
    const tracker = run(createTracker(), quarantineW0);
    t.notOk(tracker.mayPlace("w0", 0));
    tracker.refresh(60_000);
    t.ok(tracker.mayPlace("w0", 0));
    t.notOk(tracker.mayPlace("w0", 1));
    t.ok(tracker.mayPlace("w1", 5));
    t.end();
});

// Guards against an operator's decision that expires or is refused because of `maxQuarantined`.
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
    t.equal(tracker.health("w9"), Quarantined, "quarantined once the number is below the limit");
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

// Guards against faulty jobs that cause the quarantine of too many workers; 10% of 20 workers are 2.
t.test("the limit holds, and the property detects a limit that is too high", t => {
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
