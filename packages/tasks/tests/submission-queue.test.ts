import { ManualClock } from "@samphireward/core/manual-clock";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import { Ok } from "ts-results-es";
import t from "tap";
import { SubmissionQueue } from "../src/submission-queue.js";

const TimeoutMs = 1_000;
const spec: TaskSpec = { key: "k", pool: "p", resources: Resources.none, expectedRunMs: 1, payload: "" };

const codeOf = async (added: ReturnType<SubmissionQueue["add"]>): Promise<number> => {
    const result = await added;
    return result.isOk() ? ResultCode.TaskAccepted : result.error.code;
};

/** A queue whose submission was handed to the log and timed out, and a repetition of it. */
const repeated = async (): Promise<{
    clock: ManualClock;
    queue: SubmissionQueue;
    second: Promise<number>;
}> => {
    const clock = ManualClock.create();
    const queue = SubmissionQueue.create(clock, TimeoutMs);
    const first = codeOf(queue.add(spec));
    queue.takeWaiting();
    clock.advance(TimeoutMs);
    queue.expire();
    t.equal(await first, ResultCode.OwnerUnreachable);
    return { clock, queue, second: codeOf(queue.add(spec)) };
};

// Guards against a caller that is told that its task was not recorded and does not run, although the first submission of
// the same key, which was not answered, may be recorded.
t.test("a repeated submission is not refused as not run while the first one is unanswered", async t => {
    const expired = await repeated();
    expired.clock.advance(TimeoutMs);
    expired.queue.expire();
    t.equal(await expired.second, ResultCode.OwnerUnreachable, "after its time-out");
    const refused = await repeated();
    refused.queue.refuseWaiting();
    t.equal(await refused.second, ResultCode.OwnerUnreachable, "when the owner closes");
    const answered = await repeated();
    answered.queue.settle(spec.key, Ok(undefined));
    t.equal(await answered.second, ResultCode.TaskAccepted, "the first one's answer holds for the task");
});

// Guards against an unknown result where the caller could know: nothing of the submission was handed to the log.
t.test("a submission that was not handed to the log is refused as not run", async t => {
    const clock = ManualClock.create();
    const queue = SubmissionQueue.create(clock, TimeoutMs);
    const late = codeOf(queue.add(spec));
    clock.advance(TimeoutMs);
    queue.expire();
    t.equal(await late, ResultCode.StoreUnavailable);
    const waiting = codeOf(queue.add(spec));
    queue.refuseWaiting();
    t.equal(await waiting, ResultCode.NoCellOwner);
});
