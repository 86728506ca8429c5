import t from "tap";
import { ManualClock } from "../src/manual-clock.js";
import { PauseDetector } from "../src/pause-detector.js";

// Guards against a request that gets its whole time although it arrived while the process was stopped, and against ordinary
// requests that lose a part of theirs.
t.test("data that is read after a pause may have arrived at its beginning", t => {
    const clock = ManualClock.create(10_000);
    const pauses = PauseDetector.create(clock);
    clock.advance(60_000);
    t.equal(pauses.earliestArrivalMs(), 70_000, "not started yet");
    pauses.start();
    t.teardown(() => pauses.close());
    clock.advance(900);
    t.equal(pauses.earliestArrivalMs(), 70_900, "a busy process");
    clock.advance(3_500);
    t.equal(pauses.earliestArrivalMs(), 70_900, "just after the pause");
    clock.advance(400);
    t.equal(pauses.earliestArrivalMs(), 70_900, "what arrived meanwhile is still being read");
    clock.advance(200);
    t.equal(pauses.earliestArrivalMs(), 75_000, "some time after the pause");
    pauses.close();
    clock.advance(5_000);
    t.equal(pauses.earliestArrivalMs(), 80_000, "closed");
    t.end();
});
