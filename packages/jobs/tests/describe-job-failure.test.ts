import t from "tap";
import { describeJobFailure } from "../src/describe-job-failure.js";
import type { JobFailure } from "../src/job-failure.js";

const cases: readonly [failure: JobFailure, text: string][] = [
    [
        { cause: "attempts", task: "0.0.3", failedRuns: 3, limit: 3, configVersion: 9 },
        "attempts: task 0.0.3 failed 3 times, limit 3, config 9",
    ],
    [
        { cause: "attempts", task: "0.0.3", failedRuns: 3, limit: 3 },
        "attempts: task 0.0.3 failed 3 times, limit 3",
    ],
    [{ cause: "attempts", task: "0.0.3" }, "attempts: task 0.0.3 failed ? times, limit ?"],
    [
        {
            cause: "worker-crashes",
            task: "0.0.3",
            crashedWorkers: [
                { worker: "i-1/5", proof: "replaced" },
                { worker: "i-2/6", proof: "inherited" },
            ],
            inheritedCrashes: 0,
        },
        "worker-crashes: task 0.0.3, workers i-1 (replaced), i-2 (inherited)",
    ],
    [
        {
            cause: "worker-crashes",
            task: "0.0.3",
            crashedWorkers: [{ worker: "i-1/5", proof: "replaced" }],
            inheritedCrashes: 2,
        },
        "worker-crashes: task 0.0.3, workers i-1 (replaced), 2 before (inherited)",
    ],
    [{ cause: "worker-crashes", task: "0.0.3" }, "worker-crashes: task 0.0.3"],
    [{ cause: "later" as JobFailure["cause"], task: "0.0.3" }, "later: task 0.0.3"],
];

// Guards against a line that does not name what ended a job, and against an error for a failure that another build stored.
t.test("a failure is described by its cause, its task and what is known", t => {
    for (const [failure, text] of cases) {
        t.equal(describeJobFailure(failure), text);
    }
    t.end();
});
