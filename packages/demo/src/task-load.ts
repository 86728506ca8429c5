import { JsonClient } from "@samphireward/core/json-client";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { Balancer } from "./balancer.js";

const SubmitTimeoutMs = 8_000;
const PollIntervalMs = 250;
const MaxAttempts = 20;

interface TaskLoadOptions {
    readonly balancer: Balancer;
    /** Path of the route to which the tasks are submitted. */
    readonly path: string;
    readonly count: number;
    readonly seed: number;
    readonly name: string;
}

/** Batch tasks submitted through the balancer, each retried with the same key until it is accepted. */
export class TaskLoad {
    readonly acceptedKeys: string[] = [];
    readonly stateByKey = new Map<string, string>();
    private readonly clients = new Map<string, JsonClient>();

    private constructor(private readonly options: TaskLoadOptions) {}

    static create(options: TaskLoadOptions): TaskLoad {
        return new TaskLoad(options);
    }

    /** Submits all tasks, ten at a time. */
    async submitAll(): Promise<void> {
        const random = SeededRandom.create(this.options.seed);
        const waiting = Array.from({ length: this.options.count }, (_, index) => ({
            key: `${this.options.name}-${index}`,
            payload: JSON.stringify({ runMs: 300 + random.below(1_500) }),
        }));
        const submitter = async (): Promise<void> => {
            for (let task = waiting.shift(); task !== undefined; task = waiting.shift()) {
                await this.submit(task);
            }
        };
        await Promise.all(Array.from({ length: 10 }, submitter));
    }

    /** Polls until every accepted task has ended or the timeout expires. Returns whether all have ended. */
    async waitUntilEnded(timeoutMs: number): Promise<boolean> {
        const endMs = performance.now() + timeoutMs;
        while (performance.now() < endMs) {
            const open = this.acceptedKeys.filter(key => !isEndState(this.stateByKey.get(key)));
            if (open.length === 0) {
                return true;
            }
            await Promise.all(open.slice(0, 50).map(key => this.poll(key)));
            await new Promise(resolve => setTimeout(resolve, PollIntervalMs));
        }
        return false;
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }

    /** Submits one task, retrying with the same key until it is accepted, up to `MaxAttempts` times. */
    async submit(body: { key: string; payload: string }): Promise<void> {
        for (let attempt = 0; attempt < MaxAttempts; attempt += 1) {
            const res = await this.call("POST", this.options.path, body);
            if (res !== undefined && (res.status === 202 || res.status === 200)) {
                this.acceptedKeys.push(body.key);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, PollIntervalMs));
        }
    }

    private async poll(key: string): Promise<void> {
        const res = await this.call("GET", `${this.options.path}/${key}`);
        const state = (res?.body as { state?: string } | undefined)?.state;
        if (state !== undefined) {
            this.stateByKey.set(key, state);
        }
    }

    private async call(
        method: string,
        path: string,
        body?: object,
    ): Promise<{ status: number; body: unknown } | undefined> {
        const address = this.options.balancer.pick();
        if (address === undefined) {
            return undefined;
        }
        const client = this.clients.get(address) ?? JsonClient.create(address);
        this.clients.set(address, client);
        const options = { timeoutMs: SubmitTimeoutMs, ...(body && { body }) };
        return client.call(method, path, options).catch(() => undefined);
    }
}

const isEndState = (state: string | undefined): boolean =>
    ["finished", "failed", "cancelled"].includes(state ?? "");
