import t from "tap";
import { AdaptiveTimeout } from "../src/adaptive-timeout.js";
import { AdaptiveTimeouts } from "../src/adaptive-timeouts.js";

const MinMs = 900;
const MaxMs = 3_600;

// Guards against attempts that are all abandoned too early, and against a long time-out that outlives the congestion.
t.test("a time-out doubles up to its maximum and returns to its minimum with a response", t => {
    const timeout = AdaptiveTimeout.create(MinMs, MaxMs);
    const used = [0, 1, 2, 3].map(() => {
        const { ms } = timeout;
        timeout.noteTimeout();
        return ms;
    });
    t.strictSame(used, [900, 1_800, 3_600, 3_600]);
    timeout.noteResponse();
    t.equal(timeout.ms, MinMs);
    t.end();
});

// Guards against one kind of call that lengthens or shortens the time-out of another.
t.test("each kind of call has its own time-out", t => {
    const timeouts = AdaptiveTimeouts.create(MaxMs);
    timeouts.get("read", MinMs).noteTimeout();
    t.equal(timeouts.get("read", MinMs).ms, 2 * MinMs);
    t.equal(timeouts.get("watch", MinMs).ms, MinMs);
    t.end();
});
