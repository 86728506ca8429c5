import { JsonClient } from "@samphireward/core/json-client";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { Balancer } from "./balancer.js";

const SubmitTimeoutMs = 8_000;
const PollMs = 250;
const MaxTries = 20;

interface TaskLoadOptions {
    readonly balancer: Balancer;
    /** Path of the route that accepts the tasks. */
    readonly path: string;
    readonly count: number;
    readonly seed: number;
    readonly name: string;
}

/** Batch tasks submitted through the balancer, each repeated with the same key until it is answered. */
export class TaskLoad {
    readonly accepted: string[] = [];
    readonly states = new Map<string, string>();
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

    /** Polls until every accepted task has ended or the time is over. Returns whether all have ended. */
    async untilEnded(timeoutMs: number): Promise<boolean> {
        const endMs = performance.now() + timeoutMs;
        while (performance.now() < endMs) {
            const open = this.accepted.filter(key => !isFinal(this.states.get(key)));
            if (open.length === 0) {
                return true;
            }
            await Promise.all(open.slice(0, 50).map(key => this.poll(key)));
            await new Promise(resolve => setTimeout(resolve, PollMs));
        }
        return false;
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }

    /** Submits one task, again and again with the same key until it is accepted. */
    async submit(body: { key: string; payload: string }): Promise<void> {
        for (let tries = 0; tries < MaxTries; tries += 1) {
            const answer = await this.call("POST", this.options.path, body);
            if (answer !== undefined && (answer.status === 202 || answer.status === 200)) {
                this.accepted.push(body.key);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, PollMs));
        }
    }

    private async poll(key: string): Promise<void> {
        const answer = await this.call("GET", `${this.options.path}/${key}`);
        const state = (answer?.body as { state?: string } | undefined)?.state;
        if (state !== undefined) {
            this.states.set(key, state);
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

const isFinal = (state: string | undefined): boolean =>
    ["finished", "failed", "cancelled"].includes(state ?? "");
