import { newId, route, runCase } from "../standins/case.mjs";
import { sleep } from "../standins/http.mjs";

const FinishMs = 14_000;
const WatchMs = 3_000;
/** Submissions to each queue in the time of the disruption: one of 20 is a share of 0.05. */
const Count = 20;
const DurationMs = 3_000;
const TaskMs = 500;

const submission = (step = {}) => ({
    specification: JSON.stringify({ ms: TaskMs }),
    steps: [{ count: 2, cpu: 1000, memory_request_mb: 512, estimated_ms: TaskMs, ...step }],
});

/**
 * Two queues share six workers without accelerators. One of the 20 submissions to the more urgent queue can never be
 * done: it asks for an accelerator, which no worker has. All other work fits into a fraction of the service.
 */
const play = async ({ record, hasTrouble, install }) => {
    const made = await install({
        nodeCount: 2,
        workers: [1, 2, 3, 4, 5, 6].map(number => ({
            id: `i-worker-${number}`,
            labels: ["a", `r1-${(number % 3) + 1}`],
            capacity: { cpu: 16_000, memory_request_mb: 64_000, gpus: 0 },
        })),
        routes: [route("render", { priority: 0 }), route("plan", { priority: 2, stretch: 2 })],
    });
    const started = new Set();
    for (const worker of made.workers) {
        worker.onChange = (how, task) => how === "started" && started.add(task.split(".")[0]);
    }

    const accepted = [];
    const hand = async (queue, body) => {
        const id = newId();
        if (await made.submit(`/${queue}/${id}`, body)) {
            accepted.push({ queue, id });
        }
        return id;
    };
    await hand("plan", submission());
    await sleep(2_000);
    let hopeless;
    for (let number = 0; number < Count; number++) {
        const isHopeless = hasTrouble && number === 0;
        const id = await hand("render", submission(isHopeless ? { count: 1, cpu: 500, gpus: 1 } : {}));
        hopeless = isHopeless ? id : hopeless;
        await hand("plan", submission());
        await sleep(DurationMs / Count);
    }
    record.say("traffic-ended", { accepted: accepted.length, hopeless });

    await sleep(FinishMs);
    const waiting = accepted.filter(({ id }) => id !== hopeless && !started.has(id));
    await sleep(WatchMs);
    const violations = [];
    for (const { queue, id } of waiting.filter(each => !started.has(each.id))) {
        const state = await made.state(`/${queue}/${id}`);
        const runs = made.workers.reduce((sum, worker) => sum + worker.running.size, 0);
        violations.push({ rule: "LOST", queue, id, state, runsInTheService: runs });
    }
    record.say("finished", { accepted: accepted.length, neverStarted: violations.length });
    return violations;
};

await runCase(import.meta.url, play);
