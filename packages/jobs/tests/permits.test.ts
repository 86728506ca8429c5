import t from "tap";
import { StartOutcome } from "../src/start-outcome.js";
import type { PermitRequest } from "../src/permit-request.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const ValidMs = 3_000;

const ids = (req: PermitRequest | undefined): string[] =>
    req?.workers.map(({ entry }) => entry.id).sort() ?? [];

/** Answers a request: these workers may run the step. */
const permit = (rig: SchedulerHarness, req: PermitRequest | undefined, ...workers: string[]): void => {
    if (req !== undefined) {
        const tickets = new Map(workers.map(id => [id, `ticket ${id}`]));
        rig.scheduler.notePermits(req, tickets, rig.clock.nowMs() + ValidMs);
    }
};

const setUp = (workers: number): SchedulerHarness => {
    const rig = SchedulerHarness.create();
    rig.requirePermits();
    for (let index = 0; index < workers; index++) {
        rig.addWorker(`w${index}`);
    }
    return rig;
};

// Guards against a queue whose starts are all refused because no permits were requested.
t.test("tasks of a queue that needs permits start only on permitted workers", t => {
    const rig = setUp(3);
    rig.submit({ count: 2 });
    t.same(rig.planStarts(), [], "nothing is permitted yet");
    const req = rig.scheduler.nextPermitRequest();
    t.strictSame(ids(req), ["w0", "w1", "w2"]);
    t.equal(rig.scheduler.nextPermitRequest(), undefined, "one request at a time");
    permit(rig, req, "w1");
    const runs = rig.planAndStartAll();
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
    const rig = setUp(2);
    rig.submit({});
    rig.planStarts();
    permit(rig, rig.scheduler.nextPermitRequest());
    rig.planStarts();
    t.equal(rig.scheduler.nextPermitRequest(), undefined);
    rig.addWorker("w2");
    rig.planStarts();
    const req = rig.scheduler.nextPermitRequest();
    t.strictSame(ids(req), ["w2"]);
    permit(rig, req, "w2");
    t.equal(rig.planAndStartAll()[0]?.worker.entry.id, "w2");
    t.end();
});

// Guards against starts with an expired or rejected ticket.
t.test("an expired or rejected permit is requested again before the next start", t => {
    const rig = setUp(1);
    rig.submit({ count: 1 }, { count: 1 });
    rig.planStarts();
    permit(rig, rig.scheduler.nextPermitRequest(), "w0");
    rig.clock.advance(ValidMs);
    t.same(rig.planStarts(), [], "it has expired");
    permit(rig, rig.scheduler.nextPermitRequest(), "w0");
    const [run] = rig.planStarts();
    t.ok(run);
    if (run !== undefined) {
        rig.scheduler.responses.recordStart(run, StartOutcome.NoPermit);
    }
    rig.clock.advance(10);
    const more = rig.planStarts().filter(other => other.task === run?.task);
    t.same(more, [], "the worker rejected the ticket");
    t.strictSame(ids(rig.scheduler.nextPermitRequest()), ["w0"]);
    t.end();
});

// Guards against overloading the permit service further with repeated requests.
t.test("an unanswered request is repeated after a delay", t => {
    const rig = setUp(40);
    rig.submit({});
    rig.planStarts();
    const req = rig.scheduler.nextPermitRequest();
    t.equal(req?.workers.length, 30, "the maximum number of workers per request");
    if (req !== undefined) {
        rig.scheduler.notePermits(req, undefined, 0);
    }
    rig.planStarts();
    t.equal(rig.scheduler.nextPermitRequest(), undefined);
    rig.clock.advance(200);
    rig.planStarts();
    t.equal(rig.scheduler.nextPermitRequest()?.workers.length, 30);
    t.end();
});
