import { fileURLToPath } from "node:url";
import { callJson, sleep } from "./http.mjs";
import { Link } from "./link.mjs";
import { CaseRecord } from "./record.mjs";
import { StoreStandin } from "./store.mjs";
import { SystemUnderTest } from "./system.mjs";
import { WorkerStandin } from "./worker.mjs";

const Host = "desk.example";
const TimeLimitMs = 115_000;
const RetryMs = 300;

/** A queue of the config. */
export const route = (name, fields = {}) => ({
    name: `r-${name}`,
    host: Host,
    prefix: `/${name}/`,
    kind: "non_idempotent",
    timeout_ms: 3000,
    target_latency_ms: 500,
    priority: 0,
    service: "desk",
    max_attempts: 3,
    stretch: 1.5,
    ...fields,
});

/** A small installation: the store, workers, and processes of the system with a link of their own to the store. */
export class Installation {
    workers = [];
    links = [];
    version = 0;

    static async create(record, { nodeCount, workers, routes }) {
        const installation = new Installation();
        installation.record = record;
        installation.store = await StoreStandin.create();
        installation.configure(routes);
        for (const options of workers) {
            await installation.addWorker(options);
        }
        installation.system = new SystemUnderTest(record);
        for (let index = 1; index <= nodeCount; index++) {
            const link = await Link.create(installation.store.address);
            installation.links.push(link);
            await installation.system.start(index, link.address);
        }
        if (!(await installation.system.waitUntilReady())) {
            throw new Error("the processes did not become ready");
        }
        return installation;
    }

    get nodes() {
        return this.system.nodes;
    }

    async addWorker({ id, labels, capacity }) {
        const worker = await WorkerStandin.create(id, {
            store: this.store,
            record: this.record,
            service: "desk",
            labels,
            capacity,
        });
        this.workers.push(worker);
        return worker;
    }

    /** Writes a config; the store's confirmation is at once. */
    configure(routes) {
        this.version += 1;
        const services = [{ name: "desk", health_path: "/health", enforces_capacity: false, spare: false }];
        const limits = { body_bytes: 262_144 };
        this.store.put("op/config", { version: this.version, routes, services, limits });
        this.record.write("config-confirmed", {
            version: this.version,
            queues: routes.map(({ name }) => name),
        });
    }

    /** Sends a client's call to a node and records the answer. */
    async call(node, method, path, body) {
        const answer = await callJson(node.front, method, path, { host: Host, body });
        this.record.write("client-call", { node: node.name, method, path, body, ...answer });
        return answer;
    }

    /** Submits until a node has accepted, as a client does; the nodes in turn. Returns whether one has. */
    async submit(path, submission, limitMs = 10_000) {
        const untilMs = performance.now() + limitMs;
        for (let turn = 0; performance.now() < untilMs; turn++) {
            const node = this.nodes[turn % this.nodes.length];
            const { status } = await this.call(node, "POST", path, submission);
            if (status >= 200 && status < 300) {
                return true;
            }
            await sleep(RetryMs);
        }
        return false;
    }

    /** State of a submission, from the first node that tells it. */
    async state(path) {
        for (const node of this.nodes) {
            const { status, body } = await this.call(node, "GET", path);
            if (status === 200) {
                return body.state;
            }
        }
        return undefined;
    }

    /** Waits until a condition holds. Returns whether it does. */
    async until(isMet, limitMs) {
        const untilMs = performance.now() + limitMs;
        while (performance.now() < untilMs) {
            if (await isMet()) {
                return true;
            }
            await sleep(50);
        }
        return false;
    }

    /** Index of the node that owns the cell, by its record in the store; -1 if there is none. */
    get ownerIndex() {
        const name = this.store.read("owners/0")?.node;
        return this.nodes.findIndex(node => node.name === name);
    }

    async close() {
        await this.system?.close();
        this.workers.forEach(worker => worker.close());
        this.links.forEach(link => link.close());
        this.store?.close();
    }
}

/**
 * Runs a case. `play` gets the record, whether there is trouble, and a function that keeps the installation for the end;
 * it returns a list of violations. Exits with 0 without any, with 1 if there are some, and with 2 if the case cannot run.
 */
export const runCase = async (url, play) => {
    const record = new CaseRecord(fileURLToPath(new URL("./record.txt", url)));
    const hasTrouble = process.env.TROUBLE !== "0";
    let installation;
    const finish = async code => {
        await installation?.close();
        process.exit(code);
    };
    const timer = setTimeout(() => {
        record.say("time-limit");
        finish(2);
    }, TimeLimitMs);
    try {
        record.say("case", { hasTrouble });
        const violations = await play({
            record,
            hasTrouble,
            install: async options => {
                installation = await Installation.create(record, options);
                return installation;
            },
        });
        clearTimeout(timer);
        violations.forEach(violation => record.say("violation", violation));
        record.say("result", { violations: violations.length });
        await finish(violations.length > 0 ? 1 : 0);
    } catch (err) {
        clearTimeout(timer);
        record.say("cannot-run", { reason: String(err) });
        await finish(2);
    }
};

/** A new id of a submission. */
export const newId = () =>
    Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
