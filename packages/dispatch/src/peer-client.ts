import { JsonClient } from "@samphireward/core/json-client";
import type { JsonResponse } from "@samphireward/core/json-response";
import { createJobStatus } from "@samphireward/jobs/create-job-status";
import type { EndEstimate } from "@samphireward/jobs/end-estimate";
import type { JobStatus } from "@samphireward/jobs/job-status";
import type { EpochReport } from "./epoch-report.js";
import type { PlacementQuestion } from "./placement-question.js";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { isObject } from "./is-object.js";
import { jobCodec } from "./job-codec.js";
import { SubmitOutcome } from "./submit-outcome.js";

/** Time-out of a call to another process of the system. */
const PeerTimeoutMs = 500;
/** Time-out of a call in which another process writes to the store on behalf of this one. */
const PeerAcceptTimeoutMs = 1_500;
/** Time-out of a question to a busy owner: longer than a plan, and far below the time-out of the command that asks. */
const PeerExplainTimeoutMs = 2_000;
/** Time-out of a question that a caller waits for before its job is stored. */
const PeerEstimateTimeoutMs = 150;

/** Response of a process that was asked to store a job. */
interface AcceptResponse {
    readonly outcome: SubmitOutcome;
    /** Beside `outcome`, whose values are those that earlier builds know. */
    readonly isCancelled?: boolean;
}

/** Calls the processes that own cells. A peer that does not respond yields an error, never an empty response. */
export class PeerClient {
    private readonly clients = new Map<string, JsonClient>();

    private constructor() {}

    static create(): PeerClient {
        return new PeerClient();
    }

    /** Returns the status of a job; undefined if its owner does not know it. */
    async jobStatus(
        address: string,
        cell: number,
        id: string,
    ): Promise<Result<JobStatus | undefined, string>> {
        const response = await this.call(address, "GET", `/cells/${cell}/jobs/${encodeURIComponent(id)}`);
        return response.map(body => {
            const { state, reason, failure } = body as Partial<JobStatus>;
            return state === undefined
                ? undefined
                : createJobStatus(state, reason, jobCodec.decodeFailure(failure));
        });
    }

    async waitingCount(address: string, cell: number, queue: string): Promise<Result<number, string>> {
        const response = await this.call(
            address,
            "GET",
            `/cells/${cell}/queues/${encodeURIComponent(queue)}`,
        );
        return response.map(body => (body as { readonly waiting: number }).waiting);
    }

    /** Notifies the owner of a cancellation that is durable. */
    async notifyCancelled(address: string, cell: number, id: string): Promise<Result<void, string>> {
        const response = await this.call(
            address,
            "POST",
            `/cells/${cell}/jobs/${encodeURIComponent(id)}/cancelled`,
        );
        return response.map(() => undefined);
    }

    /** Asks which epoch the owner of a cell has. */
    async epochReport(address: string, cell: number): Promise<Result<EpochReport, string>> {
        const response = await this.call(address, "GET", `/cells/${cell}/epoch`);
        return response.map(body => {
            const { epoch, isCurrent = false } = body as Partial<EpochReport>;
            return { epoch, isCurrent };
        });
    }

    /** Asks another process to store a job, on behalf of one that does not reach the store. */
    async accept(
        address: string,
        cell: number,
        id: string,
        text: string,
    ): Promise<Result<SubmitOutcome, string>> {
        const path = `/cells/${cell}/jobs/${encodeURIComponent(id)}/accept`;
        const response = await this.call(address, "POST", path, { text }, PeerAcceptTimeoutMs);
        return response.map(body => {
            const { outcome, isCancelled } = body as AcceptResponse;
            return isCancelled === true ? SubmitOutcome.Cancelled : outcome;
        });
    }

    /** Asks the owner of a cell where a job would be placed. Returns its answer, also a refusal. */
    explain(
        address: string,
        cell: number,
        question: PlacementQuestion,
    ): Promise<Result<JsonResponse, string>> {
        return this.send(address, "POST", `/cells/${cell}/explain`, question, PeerExplainTimeoutMs);
    }

    /** Asks whether the result of a job could be of use; undefined if the owner cannot say. */
    async endEstimate(
        address: string,
        cell: number,
        id: string,
        text: string,
    ): Promise<Result<EndEstimate | undefined, string>> {
        const path = `/cells/${cell}/jobs/${encodeURIComponent(id)}/estimate`;
        const response = await this.call(address, "POST", path, { text }, PeerEstimateTimeoutMs);
        return response.map(body => {
            const { isUseful, isScarce, usefulInMs } = isObject(body) ? body : {};
            return typeof isUseful === "boolean" &&
                typeof isScarce === "boolean" &&
                typeof usefulInMs === "number"
                ? { isUseful, isScarce, usefulInMs }
                : undefined;
        });
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
        const response = await this.send(address, method, path, body, timeoutMs);
        return response.andThen(({ status, body: result }) =>
            status === 200 ? Ok(result) : Err(`status ${status}`),
        );
    }

    private async send(
        address: string,
        method: string,
        path: string,
        body?: unknown,
        timeoutMs: number = PeerTimeoutMs,
    ): Promise<Result<JsonResponse, string>> {
        let client = this.clients.get(address);
        if (client === undefined) {
            client = JsonClient.create(address);
            this.clients.set(address, client);
        }
        try {
            return Ok(await client.call(method, path, { body, timeoutMs }));
        } catch (err) {
            return Err(err instanceof Error ? err.message : String(err));
        }
    }
}
