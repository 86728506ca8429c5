// The project's programs as separate processes on loopback, beside its own stand-in of the platform's store.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { StandinStore } from "../../platform/dist/tests/fixtures/standin-store.js";

const root = fileURLToPath(new URL("../../", import.meta.url));
const ReadyTimeoutMs = 30_000;
const CallTimeoutMs = 3_000;

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** The run line of deploy/system.toml, split at spaces as DEPLOY.md says. */
const runLine = () => {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const line = /^run = "([^"]+)"$/m.exec(text)?.[1];
    if (line === undefined) {
        throw new Error("deploy/system.toml has no run line");
    }
    return line.split(" ");
};

/** Loopback address of a process; each run of a script uses addresses of its own. */
const hostOf = index => `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 256}.${index + 1}`;

const freePort = host =>
    new Promise((resolve, reject) => {
        const server = createServer();
        server.on("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** Sends a request to a loopback address; resolves to status 0 without an answer. */
export const call = (address, method, path, { body, host = "desk.example", headers = {} } = {}) => {
    const [ip, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise(resolve => {
        const req = request(
            {
                host: ip,
                port,
                method,
                path,
                agent: false,
                timeout: CallTimeoutMs,
                headers: { host, "content-type": "application/json", ...headers },
            },
            res => {
                const chunks = [];
                res.on("data", chunk => chunks.push(chunk));
                res.on("error", () => resolve({ status: 0 }));
                res.on("end", () => {
                    const answer = Buffer.concat(chunks).toString();
                    try {
                        resolve({
                            status: res.statusCode,
                            body: answer === "" ? undefined : JSON.parse(answer),
                        });
                    } catch {
                        resolve({ status: res.statusCode, body: answer });
                    }
                });
            },
        );
        req.on("timeout", () => req.destroy());
        req.on("error", () => resolve({ status: 0 }));
        req.end(text);
    });
};

/** Processes, store, and the record of what was sent, answered and run. */
export class Deployment {
    processes = [];
    lines = [];
    startedAtMs = performance.now();
    folder = mkdtempSync(join(tmpdir(), "review-"));

    static async create({ recordUrl, processCount, bounds, routes, environment = {} }) {
        const deployment = new Deployment();
        deployment.recordPath = fileURLToPath(recordUrl);
        deployment.bounds = bounds;
        deployment.environment = environment;
        deployment.store = await StandinStore.create();
        deployment.store.put("op/config", {
            version: 7,
            routes,
            services: [{ name: "desk", health_path: "/health", enforces_capacity: false, spare: false }],
            limits: { body_bytes: 262_144 },
        });
        deployment.processCount = processCount;
        return deployment;
    }

    /** Adds a line to the record. */
    note(text) {
        const line = `${((performance.now() - this.startedAtMs) / 1_000).toFixed(3)} ${text}`;
        this.lines.push(line);
    }

    /** Starts all processes and waits until each is ready. */
    async start() {
        for (let index = 0; index < this.processCount; index++) {
            await this.spawnProcess(index);
        }
        const untilMs = performance.now() + ReadyTimeoutMs;
        while (performance.now() < untilMs) {
            const answers = await Promise.all(
                this.processes.map(({ ready }) => call(ready, "GET", "/samphireward/readiness")),
            );
            if (answers.every(({ status }) => status === 200) && this.owner !== undefined) {
                this.note(`ready: ${this.processCount} processes, owner ${this.owner.node}`);
                return;
            }
            await sleep(100);
        }
        throw new Error("the processes are not ready");
    }

    get owner() {
        const text = this.store.read("owners/0");
        return text === undefined ? undefined : JSON.parse(text);
    }

    processOf(name) {
        return this.processes.find(each => each.name === name);
    }

    async spawnProcess(index) {
        const name = `front_end-a-${index + 1}`;
        const ip = hostOf(index);
        const front = `${ip}:${await freePort(ip)}`;
        const ready = `${ip}:${await freePort(ip)}`;
        const internal = await freePort(ip);
        const path = join(this.folder, `${name}.json`);
        const settings = {
            node: name,
            role: "dispatcher",
            machine_class: "front_end",
            serves: ["front_end"],
            ip_address: ip,
            zone: "zone-a",
            region: "region-a",
            listen: { front, ready },
            internal_ports: [internal, internal],
            limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, file_descriptors: 4_100 },
            bounds: this.bounds,
            orders: "call",
            ...(this.adviceAddress === undefined ? {} : { advice: this.adviceAddress }),
            platform: { address: this.storeAddressOf?.(index) ?? this.store.address, form: "kv" },
        };
        writeFileSync(path, JSON.stringify(settings));
        const process_ = { name, front, ready, path, log: [], hasEnded: false };
        this.processes[index] = process_;
        this.run(process_);
    }

    /** Starts a process with its settings file. */
    run(target) {
        const [command, ...args] = runLine();
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: root,
            env: { PATH: process.env["PATH"], SAMPHIREWARD_BOOT: target.path, ...this.environment },
            stdio: ["ignore", "pipe", "pipe"],
        });
        target.child = child;
        target.hasEnded = false;
        let rest = "";
        const read = chunk => {
            const parts = (rest + chunk.toString()).split("\n");
            rest = parts.pop();
            target.log.push(...parts);
        };
        child.stdout.on("data", read);
        child.stderr.on("data", read);
        child.on("exit", (code, signal) => {
            target.hasEnded = true;
            this.note(`process ${target.name} ended: code ${code}, signal ${signal}`);
            this.onProcessEnd?.(target, code, signal);
        });
    }

    /** Writes the record, ends all processes and exits. */
    async finish(code, workers = []) {
        this.onProcessEnd = undefined;
        for (const { child } of this.processes) {
            child?.kill("SIGKILL");
        }
        this.note(`exit ${code}`);
        writeFileSync(this.recordPath, this.lines.join("\n") + "\n");
        workers.forEach(worker => worker.close());
        rmSync(this.folder, { recursive: true, force: true });
        await sleep(100);
        process.exit(code);
    }
}

/** Longest time of a case. */
const CaseTimeoutMs = 117_000;

/** Runs a case. An unexpected error, or too long a run, ends it with exit code 2. */
export const runCase = async (options, body) => {
    const deployment = await Deployment.create(options);
    const workers = [];
    const stop = reason => {
        deployment.note(`the case could not run: ${reason}`);
        void deployment.finish(2, workers);
    };
    process.on("uncaughtException", err => stop(err.stack));
    process.on("unhandledRejection", err => stop(String(err)));
    process.on("SIGTERM", () => stop("SIGTERM"));
    process.on("exit", () => deployment.processes.forEach(({ child }) => child?.kill("SIGKILL")));
    setTimeout(() => stop("it takes too long"), CaseTimeoutMs);
    try {
        const code = await body(deployment, workers);
        await deployment.finish(code, workers);
    } catch (err) {
        deployment.note(`error: ${err.stack}`);
        await deployment.finish(2, workers);
    }
};
