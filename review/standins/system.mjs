import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { callJson, sleep } from "./http.mjs";

const Root = fileURLToPath(new URL("../../", import.meta.url));

/** The command of the deploy file. */
const readCommand = () => {
    const text = readFileSync(join(Root, "deploy/system.toml"), "utf8");
    return /^run = "(.*)"$/m.exec(text)[1].split(" ");
};

/** Finds free ports of an address; all are bound at the same time, so that they differ. */
const freePorts = async (host, count) => {
    const servers = Array.from({ length: count }, () => createServer());
    const ports = await Promise.all(
        servers.map(
            server =>
                new Promise((resolve, reject) => {
                    server.on("error", reject);
                    server.listen(0, host, () => resolve(server.address().port));
                }),
        ),
    );
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

/** The processes of the system, each on a loopback address of its own, with the bounds of the small sites. */
export class SystemUnderTest {
    nodes = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor(record) {
        this.record = record;
    }

    /** Starts a process; `storeAddress` is that of the store or of a link to it. */
    async start(index, storeAddress) {
        const host = `127.0.0.${10 + index}`;
        const name = `front_end-zone-a-${index}`;
        const [front, ready, internal] = await freePorts(host, 3);
        const settings = {
            node: name,
            role: "dispatcher",
            machine_class: "front_end",
            serves: ["front_end"],
            ip_address: host,
            zone: "zone-a",
            region: "region-a",
            zones: { "zone-a": "region-a" },
            listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
            internal_ports: [internal, internal],
            seeds: [],
            bootstrap: true,
            limits: { cpu_share: 0.27, cores: 1, memory_mb: 350, file_descriptors: 4100 },
            heartbeat_ms: 1500,
            bounds: {
                contact_ms: 4000,
                acknowledge_ms: 5000,
                drain_ms: 2500,
                grace_s: 6,
                configuration_ms: 2500,
                max_hold_ms: 6000,
                stop_timeout_ms: 200,
                gang_timeout_ms: 3000,
                cancel_ms: 3000,
                visible_ms: 3000,
                finish_s: 14,
                status_s: 120,
            },
            orders: "call",
            platform: { address: storeAddress, form: "kv", writes_per_s: 400, reads_per_s: 2000 },
        };
        const path = join(this.folder, `${name}.json`);
        writeFileSync(path, JSON.stringify(settings));
        const [command, ...words] = readCommand();
        const child = spawn(command === "node" ? process.execPath : command, words, {
            cwd: Root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, SAMPHIREWARD_BOOT: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${name}.log`));
        child.stdout.pipe(log);
        child.stderr.pipe(log);
        const node = { name, child, front: settings.listen.front, ready: settings.listen.ready };
        child.on("exit", (code, signal) => {
            node.hasExited = true;
            this.record.write("process-ended", { node: name, code, signal });
        });
        this.nodes.push(node);
        this.record.write("process-started", { node: name });
        return node;
    }

    /** Waits until all processes report that they are ready. Returns whether they do. */
    async waitUntilReady(limitMs = 20_000) {
        const untilMs = performance.now() + limitMs;
        while (performance.now() < untilMs) {
            const answers = await Promise.all(
                this.nodes.map(({ ready }) => callJson(ready, "GET", "/samphireward/readiness")),
            );
            if (answers.every(({ status }) => status === 200)) {
                this.record.write("all-ready");
                return true;
            }
            await sleep(100);
        }
        return false;
    }

    /** Ends all processes that were started here, and removes their settings. */
    async close() {
        for (const { child, hasExited } of this.nodes) {
            if (!hasExited) {
                child.kill("SIGKILL");
            }
        }
        await sleep(200);
        if (process.env.KEEP === undefined) {
            rmSync(this.folder, { recursive: true, force: true });
        } else {
            console.log(this.folder);
        }
    }
}
