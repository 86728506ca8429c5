import t from "tap";
import { StandinWorker } from "../../src/worker/standin-worker.js";

const listen = "127.0.0.1:0";
const settings = {
    name: "w-0",
    dataCentre: "herning-a",
    rack: "a-1",
    taskListen: listen,
    serviceListen: listen,
    capacity: { processors: 4, memoryMb: 4000, accelerators: 0 },
    slots: 2,
    usageLag: 0,
};

const startWorker = async () => {
    const worker = StandinWorker.create(settings);
    const { taskAddress, serviceAddress } = await worker.start();
    t.teardown(() => worker.close());
    const post = async (path: string, body: string): Promise<number> =>
        (await fetch(`http://${taskAddress}${path}`, { method: "POST", body })).status;
    const request = (path: string, id: string) =>
        fetch(`http://${serviceAddress}${path}`, { headers: { "samphireward-request-id": id } });
    return { worker, taskAddress, post, request };
};

// Guards against a service port that runs more requests than it has slots, and against refusals without the not-run
// header.
t.test("a request without a free slot is refused as not run", async t => {
    const { worker, request } = await startWorker();
    const busy = [request("/x?ms=300", "a"), request("/x?ms=300&bytes=10", "b")];
    while (Object.keys(worker.model.stats.requests).length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const over = await request("/x", "c");
    t.strictSame([over.status, over.headers.get("samphireward-not-run")], [503, "1"]);
    const bodies = await Promise.all((await Promise.all(busy)).map(res => res.text()));
    t.strictSame(bodies, ["a", "b........."]);
    t.strictSame(worker.model.stats.requests, { a: 1, b: 1 });
    t.equal(worker.model.stats.overSlotRefusals, 1);
});

// Guards against calls that violate the protocol but are answered as if they were valid.
t.test("request bodies are validated and faults can be set", async t => {
    const { taskAddress, post, request } = await startWorker();
    const ref = `"cell":"a/0","epoch":1,"key":"k","attempt":1`;
    const start = `{${ref},"resources":{"processors":1,"memoryMb":1,"accelerators":0},"leaseMs":6000`;
    const cases: [path: string, body: string, status: number][] = [
        ["/v1/tasks/start", "no JSON", 400],
        ["/v1/tasks/start", `${start},"payload":"{}"}`, 400],
        ["/v1/tasks/start", `${start},"payload":"{\\"runMs\\":60000}"}`, 200],
        ["/v1/tasks/start", `${start},"payload":"{\\"runMs\\":60000}"}`, 409],
        ["/v1/tasks/checkpoint", `{"cell":"a/0","epoch":1,"key":"x","attempt":1}`, 404],
        ["/v1/epoch", `{"cell":"a/0","epoch":2}`, 200],
        ["/v1/epoch", `{"cell":"a/0","epoch":1}`, 409],
        ["/v1/unknown", "{}", 404],
        ["/v1/fault", `{"leaving":true,"failRequests":true}`, 200],
    ];
    for (const [path, body, status] of cases) {
        t.equal(await post(path, body), status, `${path} ${body}`);
    }
    const health = await request("/health", "h");
    t.strictSame([health.status, health.headers.get("samphireward-leaving")], [503, "1"]);
    t.equal((await request("/x", "r")).status, 500);
    // The last sample may have been taken before the start; the next one includes the task.
    const readUsage = async (): Promise<string[]> => {
        const usage = (await (await fetch(`http://${taskAddress}/v1/usage`)).json()) as {
            tasks: { key: string }[];
        };
        return usage.tasks.map(task => task.key);
    };
    let used = await readUsage();
    for (let attempt = 0; attempt < 50 && used.length === 0; attempt += 1) {
        await new Promise(resolve => setTimeout(resolve, 100));
        used = await readUsage();
    }
    t.strictSame(used, ["k"]);
});
