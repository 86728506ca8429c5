import t from "tap";
import type { WorkerIncarnation } from "../src/worker-incarnation.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const WorkerCount = 40;

/** Adds workers that count how often their capacity is checked. */
const addWorkers = (
    harness: SchedulerHarness,
): { workers: WorkerIncarnation[]; takeChecks: () => number } => {
    let checks = 0;
    const workers = Array.from({ length: WorkerCount }, (_, index) => {
        const worker = harness.addWorker(`w${index}`);
        const hasCapacityFor = worker.hasCapacityFor.bind(worker);
        worker.hasCapacityFor = reservation => {
            checks++;
            return hasCapacityFor(reservation);
        };
        return worker;
    });
    const takeChecks = (): number => {
        const taken = checks;
        checks = 0;
        return taken;
    };
    return { workers, takeChecks };
};

// Guards against a plan whose duration grows with the product of workers and tasks, which saturates the owner's thread.
t.test("load pattern: steps of many tasks start on many workers", t => {
    const harness = SchedulerHarness.create();
    const { takeChecks } = addWorkers(harness);
    const count = 30;
    const limit = WorkerCount + count;
    harness.submit({ count });
    t.equal(harness.planAndStartAll().length, count);
    const checks = takeChecks();
    t.ok(checks <= limit, `each worker is checked once, and again after a start there: ${checks} checks`);
    harness.submit({ count, gang: true });
    t.equal(harness.planAndStartAll().length, count);
    const gangChecks = takeChecks();
    t.ok(gangChecks <= limit, `also for a gang: ${gangChecks} checks`);
    t.end();
});
