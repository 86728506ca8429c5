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
const PollMs = 100;
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
    /** Counts of workers as they were before their process was killed, which forgets them. */
    readonly lostCounts: WorkerCounts[] = [];
    private readonly processes = new Map<string, ManagedProcess>();

    private constructor(
        readonly plan: UserPlan,
        readonly addresses: DeploymentAddresses,
        /** Folder with settings and logs. */
        readonly dir: string,
        private readonly settings: ReadonlyMap<string, string>,
    ) {}

    /** Chooses addresses and writes the settings files; starts nothing. */
    static create(plan: UserPlan): Deployment {
        const dir = mkdtempSync(join(tmpdir(), `samphireward-${plan.user}-`));
        const addresses = DeploymentAddresses.create(plan);
        return new Deployment(plan, addresses, dir, writeSettings(dir, plan, addresses));
    }

    /** Starts the stand-ins, then the schedulers and entry processes, without waiting until they are ready. */
    async startAll(): Promise<void> {
        for (const name of ["store", "directory"]) {
            this.start(name);
        }
        await this.untilAnswers(this.addresses.store, "/v1/stats");
        await this.untilAnswers(this.addresses.directory, "/v1/vms");
        for (const name of this.settings.keys()) {
            if (!this.processes.has(name)) {
                this.start(name);
            }
        }
    }

    /** Starts, or starts again, the process with this name. */
    start(name: string): ManagedProcess {
        const kind = name.split("-")[0] as keyof typeof programs;
        const program = require.resolve(programs[kind]);
        const process = ManagedProcess.create(name, program, this.settings.get(name) ?? "", this.dir);
        this.processes.set(name, process);
        return process;
    }

    process(name: string): ManagedProcess {
        const process = this.processes.get(name);
        if (process === undefined) {
            throw new RangeError(`No process ${name} was started`);
        }
        return process;
    }

    /** Name of the scheduler process that owns a cell now. */
    async ownerOf(cell: string): Promise<string> {
        const { value } = await this.read<{ value: string }>(
            this.addresses.store,
            `/v1/kv/cell/${cell}/owner`,
        );
        return (JSON.parse(value) as { owner: string }).owner;
    }

    /** Waits until `check` holds; rejects after a time that only a hang reaches. */
    async until(what: string, check: () => Promise<boolean>): Promise<void> {
        const endMs = performance.now() + ReadyTimeoutMs;
        while (performance.now() < endMs) {
            if (await check().catch(() => false)) {
                return;
            }
            await sleep(PollMs);
        }
        throw new Error(
            `${this.plan.user}: ${what} did not happen within ${ReadyTimeoutMs} ms; logs are in ${this.dir}`,
        );
    }

    /** Reads JSON from a port of the deployment. */
    async read<T>(address: string, path: string): Promise<T> {
        const client = JsonClient.create(address);
        try {
            return (await client.call("GET", path, { timeoutMs: CallTimeoutMs })).body as T;
        } finally {
            client.close();
        }
    }

    /** What the workers of one data centre, or of all, have counted since their process started. */
    readCounts(dataCentre?: string): Promise<WorkerCounts[]> {
        return Promise.all(
            this.addresses.workers
                .filter(worker => dataCentre === undefined || worker.dataCentre === dataCentre)
                .map(worker => this.read<WorkerCounts>(worker.task, "/v1/stats")),
        );
    }

    /** Waits until every cell has an owner that knows its workers. */
    async untilServing(): Promise<void> {
        const admin = this.addresses.entryVms[0]?.admin ?? "";
        await this.until("an owner for every cell", async () => {
            const { cells } = await this.read<{ cells: { workers: unknown[] }[] }>(admin, "/v1/cells");
            const workers = cells.reduce((sum, cell) => sum + cell.workers.length, 0);
            return workers === this.addresses.workers.length;
        });
    }

    /** Stops entry processes and schedulers gracefully, then the stand-ins. Returns those that did not exit with 0. */
    async stopAll(): Promise<string[]> {
        const failed: string[] = [];
        for (const kinds of [["entry"], ["scheduler"], ["workers", "store", "directory"]]) {
            const group = [...this.processes.values()].filter(
                process => process.running && kinds.includes(process.name.split("-")[0] ?? ""),
            );
            const ends = await Promise.all(group.map(process => process.stop()));
            group.forEach((process, index) => {
                if (ends[index]?.exitCode !== 0) {
                    failed.push(process.name);
                }
            });
        }
        return failed;
    }

    private untilAnswers(address: string, path: string): Promise<void> {
        return this.until(
            `an answer of ${address}`,
            async () => (await this.read(address, path)) !== undefined,
        );
    }
}
