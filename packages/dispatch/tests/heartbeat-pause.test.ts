import t from "tap";
import { HeartbeatPause } from "../src/heartbeat-pause.js";

const SampleCount = 30;

/** Pause after several samples of the same lateness. */
const pauseAfter = (latenessMs: number): number => {
    const pause = HeartbeatPause.create();
    for (let sample = 0; sample < SampleCount; sample++) {
        pause.record(latenessMs);
    }
    return pause.nextMs;
};

// Guards against a burst of short tasks on hundreds of workers, each of whose ends costs the owner's thread a heartbeat,
// so that the starts of urgent tasks wait.
t.test("heartbeats become rarer as the thread of the owner becomes late", t => {
    t.equal(pauseAfter(0), 90);
    t.ok(pauseAfter(100) > pauseAfter(50), "the later the thread, the longer the pause");
    t.ok(pauseAfter(150) >= 250);
    t.end();
});

// Guards against silent workers that are noticed late, and leases that expire, because one long delay stops heartbeats.
t.test("the pause has a limit and ends when the thread has caught up", t => {
    t.equal(pauseAfter(60_000), 600);
    const pause = HeartbeatPause.create();
    pause.record(1_000);
    for (let sample = 0; sample < SampleCount; sample++) {
        pause.record(0);
    }
    t.equal(pause.nextMs, 90);
    t.end();
});
