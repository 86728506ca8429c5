// A burst of submissions that last, and one worker is lost for good just after it has started some of their tasks. Then
// the deployment is calm, and a third of it is free.
import { join } from "node:path";
import { sleep } from "../standins-3/site.mjs";
import { runCase } from "../standins-3/run-case.mjs";

const WorkerCount = 8;
const SubmissionCount = 4;
const TaskCount = 12;
const WorkerCpu = 16_000;
const TaskCpu = 1_600;
/** Time from the start of the last task to the loss of the worker. */
const FailAfterMs = 300;
/**
 * The rule: from 6 s after its last run, 3 s without a run, if these and the 4 s before them are calm. The loss counts as
 * a disruption for as long as a crash of the site lasts, so that a task must not be away for longer than all three.
 */
const DisruptionMs = 4_500;
const CalmBeforeMs = 4_000;
const EmptyMs = 3_000;
const MaxAwayMs = DisruptionMs + CalmBeforeMs + EmptyMs;
const ObserveMs = 30_000;

const play = async (site, hasTrouble) => {
    await site.start(
        3,
        Array.from({ length: WorkerCount }, (_, index) => ({ rack: `r1-${index}`, cpu: WorkerCpu })),
    );
    const step = {
        count: TaskCount,
        cpu: TaskCpu,
        memory_request_mb: 2_000,
        estimated_ms: 500,
        long_running: true,
    };
    const ids = Array.from({ length: SubmissionCount }, (_, index) => `00000000000000d${index}`);
    const statuses = await Promise.all(ids.map(id => site.submit("watch", id, [step])));
    if (statuses.some(status => status !== 200)) {
        throw new Error("a submission was not accepted");
    }
    const allCount = SubmissionCount * TaskCount;
    for (let waitedMs = 0; site.running().size < allCount; waitedMs += 10) {
        if (waitedMs > 10_000) {
            throw new Error("the tasks did not start");
        }
        await sleep(10);
    }
    await sleep(FailAfterMs);
    let lostTasks = [];
    if (hasTrouble) {
        const worker = site.workers.reduce((most, each) => (each.runs.size > most.runs.size ? each : most));
        lostTasks = [...worker.runs.keys()];
        worker.crash();
    }
    const lostAtMs = performance.now();
    const awayMs = new Map();
    while (performance.now() - lostAtMs < ObserveMs) {
        const running = site.running();
        for (const task of lostTasks) {
            if (running.has(task) && !awayMs.has(task)) {
                awayMs.set(task, Math.round(performance.now() - lostAtMs));
            }
        }
        if (hasTrouble && awayMs.size === lostTasks.length) {
            break;
        }
        await sleep(20);
    }
    const longestMs =
        lostTasks.length === 0 ? 0 : Math.max(...lostTasks.map(task => awayMs.get(task) ?? ObserveMs));
    const freeShare = 1 - (allCount * TaskCpu) / ((WorkerCount - 1) * WorkerCpu);
    site.note("seen", { awayMs: Object.fromEntries(awayMs), freeShare, running: site.running().size });
    return longestMs > MaxAwayMs
        ? `LOST: of ${lostTasks.length} tasks the last did not run for ${longestMs} ms, with ${Math.round(100 * freeShare)}% of the service free`
        : undefined;
};

await runCase(join(import.meta.dirname, "record.txt"), {}, play);
