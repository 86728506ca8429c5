import t from "tap";
import { StartOutcome } from "../src/start-outcome.js";
import type { PermitRequest } from "../src/permit-request.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const ValidMs = 3_000;

const ids = (req: PermitRequest | undefined): string[] =>
    req?.workers.map(({ entry }) => entry.id).sort() ?? [];

/** Answers a request: these workers may run the step. */
const permit = (harness: SchedulerHarness, req: PermitRequest | undefined, ...workers: string[]): void => {
    if (req !== undefined) {
        const tickets = new Map(workers.map(id => [id, `ticket ${id}`]));
        harness.scheduler.notePermits(req, tickets, harness.clock.nowMs() + ValidMs);
    }
};

const setUp = (workers: number): SchedulerHarness => {
    const harness = SchedulerHarness.create();
    harness.requirePermits();
    for (let index = 0; index < workers; index++) {
        harness.addWorker(`w${index}`);
    }
    return harness;
};

// Guards against a queue whose starts are all refused because no permits were requested.
t.test("tasks of a queue that needs permits start only on permitted workers", t => {
    const harness = setUp(3);
    harness.submit({ count: 2 });
    t.same(harness.planStarts(), [], "nothing is permitted yet");
    const req = harness.scheduler.nextPermitRequest();
    t.strictSame(ids(req), ["w0", "w1", "w2"]);
    t.equal(harness.scheduler.nextPermitRequest(), undefined, "one request at a time");
    permit(harness, req, "w1");
    const runs = harness.planAndStartAll();
    t.strictSame(
        runs.map(run => [run.worker.entry.id, run.ticket]),
        [
            ["w1", "ticket w1"],
            ["w1", "ticket w1"],
        ],
    );
    t.end();
});

// Guards against repeated requests for denied workers, which cost the permit service time, and against a wait for a
// worker that the step may never use.
t.test("denied workers are not requested again, new workers are", t => {
    const harness = setUp(2);
    harness.submit({});
    harness.planStarts();
    permit(harness, harness.scheduler.nextPermitRequest());
    harness.planStarts();
    t.equal(harness.scheduler.nextPermitRequest(), undefined);
    harness.addWorker("w2");
    harness.planStarts();
    const req = harness.scheduler.nextPermitRequest();
    t.strictSame(ids(req), ["w2"]);
    permit(harness, req, "w2");
    t.equal(harness.planAndStartAll()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against starts with an expired or rejected ticket.
t.test("an expired or rejected permit is requested again before the next start", t => {
    const harness = setUp(1);
    harness.submit({ count: 1 }, { count: 1 });
    harness.planStarts();
    permit(harness, harness.scheduler.nextPermitRequest(), "w0");
    harness.clock.advance(ValidMs);
    t.same(harness.planStarts(), [], "it has expired");
    permit(harness, harness.scheduler.nextPermitRequest(), "w0");
    const [run] = harness.planStarts();
    t.ok(run);
    if (run !== undefined) {
        harness.scheduler.responses.recordStart(run, StartOutcome.NoPermit);
    }
    harness.clock.advance(10);
    const more = harness.planStarts().filter(other => other.task === run?.task);
    t.same(more, [], "the worker rejected the ticket");
    t.strictSame(ids(harness.scheduler.nextPermitRequest()), ["w0"]);
    t.end();
});

// Guards against overloading the permit service further with repeated requests.
t.test("an unanswered request is repeated after a delay", t => {
    const harness = setUp(40);
    harness.submit({});
    harness.planStarts();
    const req = harness.scheduler.nextPermitRequest();
    t.equal(req?.workers.length, 30, "the maximum number of workers per request");
    if (req !== undefined) {
        harness.scheduler.notePermits(req, undefined, 0);
    }
    harness.planStarts();
    t.equal(harness.scheduler.nextPermitRequest(), undefined);
    harness.clock.advance(200);
    harness.planStarts();
    t.equal(harness.scheduler.nextPermitRequest()?.workers.length, 30);
    t.end();
});
