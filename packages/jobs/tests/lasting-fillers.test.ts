import { Resources } from "@samphireward/core/resources";
import t from "tap";
import { OrderKind } from "../src/order-kind.js";
import type { Run } from "../src/run.js";
import { SchedulerHarness } from "./scheduler-harness.js";

const TickMs = 50;
const DayMs = 20_000;
/** Time for which callers may miss a lasting task while there is capacity for it. */
const MaxWaitMs = 6_000;

/** Two workers whose serving tasks are disturbed by the image of four lasting fillers. */
const simulate = (): { readonly lastStartMs: number; readonly starts: number; readonly stops: number } => {
    const harness = SchedulerHarness.create();
    harness.scheduler.effects.restore({ headrooms: {}, pairs: { serving: [["filler", 12, 0.01]] } });
    const workers = [harness.addWorker("w1"), harness.addWorker("w2")];
    harness.submit({
        lasting: true,
        count: 2,
        maxPerWorker: 1,
        tailTargetMs: 45,
        image: "serving",
        resources: Resources.create({ processors: 14, memoryMb: 100 }),
    });
    harness.planAndStartAll();
    const resources = Resources.create({ processors: 4, memoryMb: 100 });
    harness.submit({ lasting: true, filler: true, count: 4, image: "filler", resources });
    const listed = (run: Run): ReturnType<typeof SchedulerHarness.listedRun> => ({
        ...SchedulerHarness.listedRun(run),
        progressPercent: 100,
        gauge: run.task.step.spec.tailTargetMs > 0 ? 44 : 0,
    });
    let lastStartMs = 0;
    let starts = 0;
    const stopped = new Set<string>();
    for (let ms = 0; ms < DayMs; ms += TickMs) {
        harness.clock.advance(TickMs);
        for (const order of harness.planOrders()) {
            if (order.kind === OrderKind.Start) {
                harness.scheduler.responses.recordStart(order.run, "started");
                lastStartMs = ms;
                starts++;
            } else if (order.kind === OrderKind.Stop) {
                stopped.add(order.task);
            }
        }
        workers.forEach(worker => harness.reportListing(worker, [...worker.runs.values()].map(listed), []));
    }
    return { lastStartMs, starts, stops: stopped.size };
};

// Guards against lasting fillers that never start beside free memory, since one of their job's tasks runs already.
t.test("lasting fillers start where they are slow if no worker fits well", t => {
    const { lastStartMs, starts } = simulate();
    t.equal(starts, 4);
    t.ok(lastStartMs <= MaxWaitMs, `the last one starts after ${lastStartMs} ms`);
    t.end();
});

// Guards against serving tasks that are stopped for fillers, which need none of their processors.
t.test("serving tasks do not make way for lasting fillers", t => {
    t.equal(simulate().stops, 0);
    t.end();
});
