import t from "tap";
import { SchedulerHarness } from "./scheduler-harness.js";

const OldStartMs = 100;
const NewStartMs = 200;

// Guards against tasks that run twice: a registration that was read before the worker restarted replaced the record of
// the new incarnation, and all of its tasks were started elsewhere although they ran on.
t.test("a registration of an older incarnation does not replace the newer one", t => {
    const harness = SchedulerHarness.create();
    const worker = harness.addWorker("w1", { startedAtMs: NewStartMs });
    harness.submit({});
    const [run] = harness.planAndStartAll();
    t.equal(run?.worker, worker);
    harness.addWorker("w2");
    t.equal(harness.addUnreadWorker("w1", { startedAtMs: OldStartMs }), worker);
    t.equal(harness.scheduler.fleet.get("w1"), worker);
    t.same(harness.planStarts(), [], "the task still runs");
    t.equal(worker.runs.size, 1);
    t.end();
});
