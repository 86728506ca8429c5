// An unhealthy worker refuses starts while the others are full. Checks the number of waiting submissions.
import { call, runCase, sleep } from "../standins-2/deployment.mjs";
import { Worker } from "../standins-2/worker.mjs";

const HasTrouble = process.env["TROUBLE"] !== "0";
const WorkerCount = 8;
/** `for_s` of the site's workers that fail requests. */
const UnhealthyMs = 6_500;
/** `visible_ms` + 2 s: a submission that was accepted longer ago than this has to be counted. */
const CountedAfterMs = 3_000 + 2_000;
const LongTasks = 28;
const ShortTasks = 30;
const LongPrefix = "aaaa";
const ShortPrefix = "bbbb";
const SettleMs = 1_500;
const PollMs = 150;

const bounds = {
    contact_ms: 4_000,
    visible_ms: 3_000,
    grace_s: 6,
    max_hold_ms: 10_000,
    stop_timeout_ms: 200,
    checkpoint_s: 1,
    restore_ms: 600,
};
const routes = [
    {
        name: "r-plans",
        host: "desk.example",
        prefix: "/plans/",
        kind: "non_idempotent",
        timeout_ms: 3_000,
        target_latency_ms: 1_000,
        priority: 2,
        service: "desk",
        max_attempts: 3,
        stretch: 2,
    },
];
const specOf = task => ({ workMs: task.startsWith(LongPrefix) ? 25_000 : 10_000 });

await runCase(
    { recordUrl: new URL("record.txt", import.meta.url), processCount: 3, bounds, routes },
    async (deployment, workers) => {
        /** Submissions of which a worker has started a task. */
        const begun = new Set();
        const addWorker = async index => {
            const worker = await Worker.create({
                id: `i-${index}`,
                deployment,
                specOf,
                bounds,
                capacity: { cpu: 16_000, memory_request_mb: 64_000, gpus: 0 },
                labels: ["a", `r1-${index % 2}`],
            });
            worker.onStart = ({ task }) => begun.add(task.split(".")[0]);
            workers.push(worker);
            return worker;
        };
        for (let index = 0; index < WorkerCount - 1; index++) {
            await addWorker(index);
        }
        await deployment.start();
        const { processes } = deployment;
        const submit = async (prefix, number, cpu, estimatedMs) => {
            const id = `${prefix}${number.toString(16).padStart(12, "0")}`;
            const step = { count: 1, cpu, memory_request_mb: 1_000, estimated_ms: estimatedMs };
            const body = { specification: "plan", steps: [step] };
            const { front } = processes[number % processes.length];
            const { status } = await call(front, "POST", `/plans/${id}`, { body });
            deployment.note(`POST /plans/${id}: ${status}`);
            return status === 200 ? id : undefined;
        };
        for (let number = 0; number < LongTasks; number++) {
            await submit(LongPrefix, number, 4_000, 25_000);
        }
        await sleep(SettleMs);
        const last = await addWorker(WorkerCount - 1);
        await sleep(SettleMs);
        const unhealthyAtMs = performance.now();
        last.isUnhealthy = HasTrouble;
        deployment.note(HasTrouble ? `${last.id} is unhealthy` : "no disruption");
        const accepted = new Map();
        for (let number = 0; number < ShortTasks; number++) {
            const id = await submit(ShortPrefix, number, 600, 10_000);
            if (id !== undefined) {
                accepted.set(id, performance.now());
            }
        }
        let broken = 0;
        let counts = 0;
        while (performance.now() - unhealthyAtMs < UnhealthyMs) {
            await sleep(PollMs);
            for (const { name, front } of processes) {
                const { status, body } = await call(front, "GET", "/plans/");
                const due = [...accepted].filter(([, atMs]) => performance.now() - atMs > CountedAfterMs);
                const notBegun = due.filter(([id]) => !begun.has(id)).length;
                deployment.note(
                    `GET /plans/ at ${name}: ${status} ${JSON.stringify(body)}; accepted over ` +
                        `${CountedAfterMs} ms ago and not begun: ${notBegun}`,
                );
                if (status === 200 && due.length > 0) {
                    counts++;
                    broken += body.waiting < notBegun / 2 ? 1 : 0;
                }
            }
        }
        last.isUnhealthy = false;
        deployment.note(`counts ${counts}, under half of what has not begun: ${broken}`);
        return counts === 0 ? 2 : broken > 0 ? 1 : 0;
    },
);
