import { JsonClient } from "@samphireward/core/json-client";
import type { JobState } from "@samphireward/jobs/job-state";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

/** Longest wait for another process of the system, in milliseconds. */
const PeerTimeoutMs = 500;
/** Longest wait for another process that writes to the store on behalf of this one, in milliseconds. */
const PeerAcceptTimeoutMs = 1_500;

/** Asks the processes that own cells. A peer that does not answer is an error, never an empty answer. */
export class PeerClient {
    private readonly clients = new Map<string, JsonClient>();

    private constructor() {}

    static create(): PeerClient {
        return new PeerClient();
    }

    /** State of a job; undefined when its owner does not know it. */
    async jobState(address: string, cell: number, id: string): Promise<Result<JobState | undefined, string>> {
        const answer = await this.call(address, "GET", `/cells/${cell}/jobs/${encodeURIComponent(id)}`);
        return answer.map(body => (body as { readonly state?: JobState }).state);
    }

    async waitingCount(address: string, cell: number, queue: string): Promise<Result<number, string>> {
        const answer = await this.call(address, "GET", `/cells/${cell}/queues/${encodeURIComponent(queue)}`);
        return answer.map(body => (body as { readonly waiting: number }).waiting);
    }

    /** Hands a cancellation that is durable to the owner. */
    async notifyCancelled(address: string, cell: number, id: string): Promise<Result<void, string>> {
        const answer = await this.call(
            address,
            "POST",
            `/cells/${cell}/jobs/${encodeURIComponent(id)}/cancelled`,
        );
        return answer.map(() => undefined);
    }

    /** Asks another process to make a job durable, on behalf of one that does not reach the store. */
    async accept(address: string, cell: number, id: string, text: string): Promise<Result<string, string>> {
        const path = `/cells/${cell}/jobs/${encodeURIComponent(id)}/accept`;
        const answer = await this.call(address, "POST", path, { text }, PeerAcceptTimeoutMs);
        return answer.map(body => (body as { readonly outcome: string }).outcome);
    }

    close(): void {
        this.clients.forEach(client => client.close());
    }

    private async call(
        address: string,
        method: string,
        path: string,
        body?: unknown,
        timeoutMs: number = PeerTimeoutMs,
    ): Promise<Result<unknown, string>> {
        let client = this.clients.get(address);
        if (client === undefined) {
            client = JsonClient.create(address);
            this.clients.set(address, client);
        }
        try {
            const answer = await client.call(method, path, { body, timeoutMs });
            return answer.status === 200 ? Ok(answer.body) : Err(`status ${answer.status}`);
        } catch (err) {
            return Err(err instanceof Error ? err.message : String(err));
        }
    }
}
