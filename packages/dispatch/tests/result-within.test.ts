import t from "tap";
import { resultWithin } from "../src/result-within.js";

const never = new Promise<string>(() => undefined);
const activeTimers = (): number =>
    process.getActiveResourcesInfo().filter(resource => resource === "Timeout").length;

// Guards against a heartbeat that waits for a worker without end, and against a timer that is left for each one that
// was answered.
t.test("a result counts only within its time limit, and leaves no timer", async t => {
    const timers = activeTimers();
    t.equal(await resultWithin(Promise.resolve("answer"), 10_000), "answer");
    t.equal(await resultWithin(never, 5), undefined);
    await t.rejects(resultWithin(Promise.reject(new Error("failed")), 10_000), { message: "failed" });
    t.equal(activeTimers(), timers);
});
