import { setTimeout as delay } from "node:timers/promises";
import { CodedError } from "@samphireward/core/coded-error";
import { ConfigDocument } from "@samphireward/core/config-document";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { AdminClient } from "./admin-client.js";
import { AppliedResponse } from "./responses/applied-response.js";
import { ConflictResponse } from "./responses/conflict-response.js";
import { HistoryResponse } from "./responses/history-response.js";
import { ProblemsResponse } from "./responses/problems-response.js";
import type { ConfigChange } from "./config-change.js";
import { decodeJson } from "./decode-json.js";
import type { HttpResponse } from "./http-response.js";
import type { HttpRequest } from "./http-request.js";
import type { WriteOutcome } from "./write-outcome.js";

type WriteResult = Result<WriteOutcome, CodedError>;

const MaxAttempts = 4;
const DefaultRetryDelayMs = 250;

/**
 * Writes the tables. After a lost response, searches for the change by its id and then sends the same write
 * again; `expectedRevision` and the change id ensure that it takes effect at most once.
 */
export class ConfigWriter {
    private constructor(
        private readonly client: AdminClient,
        private readonly change: ConfigChange,
        private readonly retryDelayMs: number,
    ) {}

    static create(
        client: AdminClient,
        change: ConfigChange,
        retryDelayMs = DefaultRetryDelayMs,
    ): ConfigWriter {
        return new ConfigWriter(client, change, retryDelayMs);
    }

    async write(): Promise<WriteResult> {
        let result = await this.put();
        if (!this.mayHaveRun(result)) {
            return result;
        }
        for (let attempt = 1; attempt < MaxAttempts; attempt += 1) {
            await delay(this.retryDelayMs);
            const found = await this.findByChangeId();
            if (found !== undefined) {
                return Ok(found);
            }
            result = await this.put();
            const conclusion = await this.interpretRetry(result);
            if (conclusion !== undefined) {
                return conclusion;
            }
        }
        return this.unknownOutcome(result);
    }

    private mayHaveRun(result: WriteResult): boolean {
        return result.isErr() && describeCode(result.error.code).outcome === "may-have-run";
    }

    private async put(): Promise<WriteResult> {
        const request: HttpRequest = {
            method: "PUT",
            path: "/v1/config",
            body: this.change,
            idempotent: false,
        };
        const sent = await this.client.send(request);
        return sent.andThen(response => this.decodeOutcome(request, response));
    }

    private decodeOutcome(request: HttpRequest, response: HttpResponse): WriteResult {
        const source = this.client.describeRequest(request);
        switch (response.status) {
            case 200:
                return decodeJson(source, response.text, AppliedResponse).map(({ revision }) => ({
                    kind: "applied",
                    revision,
                    foundById: false,
                }));
            case describeCode(ResultCode.ConfigConflict).httpStatus:
                return decodeJson(source, response.text, ConflictResponse).map(({ current }) =>
                    current.changeId === this.change.changeId
                        ? { kind: "applied", revision: current.revision, foundById: true }
                        : { kind: "conflict", current },
                );
            case describeCode(ResultCode.TablesInvalid).httpStatus:
                return decodeJson(source, response.text, ProblemsResponse).map(({ problems }) => ({
                    kind: "invalid",
                    problems,
                }));
            default:
                return Err(this.client.responseError(response));
        }
    }

    /** Searches the configurations known to the process; `undefined` doesn't prove that the change was not applied. */
    private async findByChangeId(): Promise<WriteOutcome | undefined> {
        const { changeId } = this.change;
        const current = await this.client.get("/v1/config", ConfigDocument);
        if (current.isOk() && current.value.changeId === changeId) {
            return { kind: "applied", revision: current.value.revision, foundById: true };
        }
        const history = await this.client.get("/v1/config/history", HistoryResponse);
        const changes = history.isOk() ? history.value.changes : [];
        const entry = changes.find(item => item.changeId === changeId);
        return entry && { kind: "applied", revision: entry.revision, foundById: true };
    }

    /** Returns what the result of a repeated write proves about the change, or `undefined` if it proves nothing. */
    private async interpretRetry(result: WriteResult): Promise<WriteResult | undefined> {
        if (result.isErr() || result.value.kind === "invalid") {
            return undefined;
        }
        const outcome = result.value;
        if (outcome.kind === "applied") {
            return Ok({ ...outcome, foundById: true });
        }
        const found = await this.findByChangeId();
        if (found !== undefined) {
            return Ok(found);
        }
        // The revision after the expected one belongs to another change, so this change can no longer take effect.
        const isNext = outcome.current.revision === this.change.expectedRevision + 1;
        return isNext ? result : undefined;
    }

    private unknownOutcome(last: WriteResult): WriteResult {
        const detail = last.isErr() ? `: ${last.error.message}` : "";
        const message =
            `The answer was lost and the change may have been applied${detail}. ` +
            `Look for change id ${this.change.changeId} in "config history".`;
        return Err(CodedError.create(ResultCode.ConnectionLost, message));
    }
}
