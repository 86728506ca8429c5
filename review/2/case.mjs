import { newId, route, runCase } from "../standins/case.mjs";
import { sleep } from "../standins/http.mjs";

const Rounds = 5;
const StoreCutMs = 5_500;
const WorkerCutDelayMs = 1_500;
const WorkerCutMs = 5_000;
const RoundMs = 12_000;
const ShortMs = 700;

const step = fields => ({ count: 1, cpu: 1000, memory_request_mb: 512, estimated_ms: 1_000, ...fields });

/**
 * Four processes and five workers. In each round the owner's process is partitioned from the store, and one worker loses
 * the path to the process that takes the cell over. That worker runs one long task and, from time to time, a short one.
 */
const play = async ({ record, hasTrouble, install }) => {
    const made = await install({
        nodeCount: 4,
        workers: [1, 2, 3, 4, 5].map(number => ({
            id: `i-worker-${number}`,
            labels: [number === 1 ? "b" : "a", `r1-${number === 1 ? 1 : 2}`],
            capacity: { cpu: 16_000, memory_request_mb: 64_000, gpus: 0 },
        })),
        routes: [route("render")],
    });
    const { workers, store, links, nodes } = made;
    const [first] = workers;
    const violations = [];
    for (const worker of workers) {
        worker.onChange = (how, task, run) => {
            const others = workers.filter(other => other !== worker && other.isUp && other.running.has(task));
            if (how === "started" && others.length > 0) {
                const [other] = others;
                violations.push({
                    rule: "TWICE",
                    task,
                    run,
                    worker: worker.id,
                    otherRun: other.running.get(task).run,
                    otherWorker: other.id,
                });
            }
        };
    }

    for (let round = 1; round <= Rounds && violations.length === 0; round++) {
        const long = newId();
        const body = {
            specification: JSON.stringify({ ms: 60_000 }),
            steps: [step({ affinity: "r1-1", estimated_ms: 60_000 })],
        };
        await made.submit(`/render/${long}`, body);
        if (!(await made.until(() => first.running.has(`${long}.0.0.0`), 5_000))) {
            throw new Error("the long task did not start on the first worker");
        }
        await sleep(2_500);
        const short = newId();
        const work = {
            specification: JSON.stringify({ ms: ShortMs }),
            steps: [step({ requirements: "b", estimated_ms: ShortMs })],
        };
        await made.submit(`/render/${short}`, work);
        await made.until(() => first.running.has(`${short}.0.0.0`), 5_000);

        const owner = made.ownerIndex;
        const { epoch } = store.read("owners/0");
        record.say("round", { round, owner: nodes[owner]?.name, epoch });
        if (hasTrouble) {
            links[owner].isCut = true;
            record.write("owner-cut-from-store");
            setTimeout(() => {
                links[owner].isCut = false;
                record.write("owner-reaches-store");
            }, StoreCutMs);
            setTimeout(() => {
                first.treat = (_call, { fencing_token: fence = 0 }) => (fence > epoch ? "lost" : "serve");
                record.write("worker-cut-from-next-owner", { worker: first.id });
            }, WorkerCutDelayMs);
            setTimeout(() => {
                first.treat = () => "serve";
                record.write("worker-reaches-all", { worker: first.id });
            }, WorkerCutDelayMs + WorkerCutMs);
            first.onHold = (fence, deadlineMs) => {
                if (deadlineMs !== undefined && store.read("owners/0")?.epoch !== fence) {
                    record.write("lease-extended-by-previous-owner", {
                        worker: first.id,
                        fence,
                        deadlineMs,
                        clockMs: first.clockMs,
                    });
                }
            };
        }
        await sleep(RoundMs);
        await made.call(nodes[0], "DELETE", `/render/${long}`);
        await sleep(1_500);
    }
    return violations;
};

await runCase(import.meta.url, play);
