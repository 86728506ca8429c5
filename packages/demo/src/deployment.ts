import { setTimeout as sleep } from "node:timers/promises";
import { mkdtempSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { JsonClient } from "@samphireward/core/json-client";
import { DeploymentAddresses } from "./deployment-addresses.js";
import { ManagedProcess } from "./managed-process.js";
import type { UserPlan } from "./user-plan.js";
import type { WorkerCounts } from "./worker-counts.js";
import { writeSettings } from "./write-settings.js";

const ReadyTimeoutMs = 20_000;
const PollIntervalMs = 100;
const CallTimeoutMs = 2_000;

const programs = {
    store: "@samphireward/standins/store/main",
    directory: "@samphireward/standins/directory/main",
    workers: "@samphireward/standins/worker/main",
    entry: "@samphireward/entry/main",
    scheduler: "@samphireward/scheduler/main",
} as const;

const require = createRequire(import.meta.url);

/** One user's system on loopback: stand-ins for the platform, and an entry and a scheduler process for each VM. */
export class Deployment {
    /** Counts read before a worker process was killed, since the process loses them. */
    readonly countsBeforeKill: WorkerCounts[] = [];
    /** The last started process of each name. */
    private readonly processes = new Map<string, ManagedProcess>();
    private readonly started: ManagedProcess[] = [];

    private constructor(
        readonly plan: UserPlan,
        readonly addresses: DeploymentAddresses,
        /** Directory of the settings and log files. */
        readonly dir: string,
        private readonly settings: ReadonlyMap<string, string>,
    ) {}

    /** Allocates the addresses and writes the settings files. Starts no process. */
    static create(plan: UserPlan): Deployment {
        const dir = mkdtempSync(join(tmpdir(), `samphireward-${plan.user}-`));
        const addresses = DeploymentAddresses.create(plan);
        return new Deployment(plan, addresses, dir, writeSettings(dir, plan, addresses));
    }

    /** Starts the stand-ins, then the schedulers and entry processes. Does not wait until these are ready. */
    async startAll(): Promise<void> {
        for (const name of ["store", "directory"]) {
            this.start(name);
        }
        await this.waitForResponse(this.addresses.store, "/v1/stats");
        await this.waitForResponse(this.addresses.directory, "/v1/vms");
        for (const name of this.settings.keys()) {
            if (!this.processes.has(name)) {
                this.start(name);
            }
        }
    }

    /** Starts or restarts the process with this name. */
    start(name: string): ManagedProcess {
        const kind = name.split("-")[0] as keyof typeof programs;
        const program = require.resolve(programs[kind]);
        const process = ManagedProcess.create(name, program, this.settings.get(name) ?? "", this.dir);
        this.processes.set(name, process);
        this.started.push(process);
        return process;
    }

    process(name: string): ManagedProcess {
        const process = this.processes.get(name);
        if (process === undefined) {
            throw new RangeError(`Process ${name} has not been started`);
        }
        return process;
    }

    /** Reads the name of the scheduler process that owns a cell. */
    async readCellOwner(cell: string): Promise<string> {
        const { value } = await this.readJson<{ value: string }>(
            this.addresses.store,
            `/v1/kv/cell/${cell}/owner`,
        );
        return (JSON.parse(value) as { owner: string }).owner;
    }

    /** Polls until `check` resolves to true. Rejects after `ReadyTimeoutMs`, which is exceeded only by a hang. */
    async waitUntil(condition: string, check: () => Promise<boolean>): Promise<void> {
        const endMs = performance.now() + ReadyTimeoutMs;
        while (performance.now() < endMs) {
            if (await check().catch(() => false)) {
                return;
            }
            await sleep(PollIntervalMs);
        }
        throw new Error(
            `${this.plan.user}: timed out after ${ReadyTimeoutMs} ms waiting for ${condition}; logs are in ${this.dir}`,
        );
    }

    /** Reads JSON from an address of the deployment. */
    async readJson<T>(address: string, path: string): Promise<T> {
        const client = JsonClient.create(address);
        try {
            return (await client.call("GET", path, { timeoutMs: CallTimeoutMs })).body as T;
        } finally {
            client.close();
        }
    }

    /** Reads the workers' counts since their process started, of one data centre or of all. */
    readWorkerCounts(dataCentre?: string): Promise<WorkerCounts[]> {
        return Promise.all(
            this.addresses.workers
                .filter(worker => dataCentre === undefined || worker.dataCentre === dataCentre)
                .map(worker => this.readJson<WorkerCounts>(worker.task, "/v1/stats")),
        );
    }

    /** Waits until every cell has an owner and the owners know all workers. */
    async waitUntilServing(): Promise<void> {
        const admin = this.addresses.entryVms[0]?.admin ?? "";
        await this.waitUntil("an owner for every cell", async () => {
            const { cells } = await this.readJson<{ cells: { workers: unknown[] }[] }>(admin, "/v1/cells");
            const workers = cells.reduce((sum, cell) => sum + cell.workers.length, 0);
            return workers === this.addresses.workers.length;
        });
    }

    /** Describes each process so far that ended by itself or did not stop with exit code 0. */
    unexpectedExits(): string[] {
        return this.started.flatMap(process => process.unexpectedExit ?? []);
    }

    /** Stops the entry processes, then the schedulers, then the stand-ins, each with SIGTERM. */
    async stopAll(): Promise<void> {
        for (const kinds of [["entry"], ["scheduler"], ["workers", "store", "directory"]]) {
            const group = this.started.filter(
                process => process.isRunning && kinds.includes(process.name.split("-")[0] ?? ""),
            );
            await Promise.all(group.map(process => process.stop()));
        }
    }

    private waitForResponse(address: string, path: string): Promise<void> {
        return this.waitUntil(
            `a response from ${address}`,
            async () => (await this.readJson(address, path)) !== undefined,
        );
    }
}
