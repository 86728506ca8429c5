import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { decodeJson } from "./decode-json.js";
import type { HttpResponse } from "./http-response.js";
import type { HttpRequest } from "./http-request.js";
import { sendHttpRequest } from "./send-http-request.js";
import { parseJson } from "./parse-json.js";

/** Total number of attempts for an idempotent request whose response is lost. */
const MaxAttempts = 3;

const mayHaveRun = (result: Result<HttpResponse, CodedError>): boolean =>
    result.isErr() && describeCode(result.error.code).outcome === "may-have-run";

/** A refused retry doesn't tell whether the first attempt, whose response was lost, took effect. */
const isInconclusive = (request: HttpRequest, result: Result<HttpResponse, CodedError>): boolean => {
    const code = result.isErr() ? result.error.code : result.value.code;
    const isRefusal = code !== undefined && describeCode(code).outcome === "not-run";
    return isRefusal && (request.method !== "GET" || result.isErr());
};

const errorMessageOf = (response: HttpResponse, code: ResultCode): string => {
    const body = parseJson(response.text);
    const detail =
        typeof body === "object" && body !== null && "message" in body ? String(body.message) : undefined;
    return detail ?? describeCode(code).meaning;
};

const createResponseError = (address: string, response: HttpResponse): CodedError => {
    if (response.code !== undefined) {
        return CodedError.create(response.code, errorMessageOf(response, response.code));
    }
    if (response.status === describeCode(ResultCode.Unauthorized).httpStatus) {
        const message = `${address} requires a valid token. Give it with --token-file.`;
        return CodedError.create(ResultCode.Unauthorized, message);
    }
    const message = `Expected an answer with a result code from ${address}, got HTTP status ${response.status}`;
    return CodedError.create(ResultCode.AnswerMalformed, message);
};

/** HTTP client for the ports of entry processes (docs/admin-api.md). Its promises never reject. */
export class AdminClient {
    private constructor(
        readonly addresses: readonly string[],
        private readonly options: { readonly token: string | undefined; readonly timeoutMs: number },
    ) {}

    static create(
        addresses: readonly string[],
        options: { readonly token: string | undefined; readonly timeoutMs: number },
    ): AdminClient {
        return new AdminClient(addresses, options);
    }

    /** Returns any complete response, including refusals. Retries an idempotent request whose response is lost. */
    async send(request: HttpRequest): Promise<Result<HttpResponse, CodedError>> {
        let result = await this.sendOnce(request);
        for (
            let attempt = 1;
            request.idempotent && mayHaveRun(result) && attempt < MaxAttempts;
            attempt += 1
        ) {
            const repeated = await this.sendOnce(request);
            result = isInconclusive(request, repeated) ? result : repeated;
        }
        return result;
    }

    /** Returns the decoded body of a 2xx response. Any other response is an error with the response's code. */
    async query<S extends Schema.ConstraintDecoder<unknown>>(
        request: HttpRequest,
        schema: S,
    ): Promise<Result<S["Type"], CodedError>> {
        const result = await this.send(request);
        return result.andThen(response => {
            const isSuccess = response.status >= 200 && response.status < 300;
            return isSuccess
                ? decodeJson(this.describeRequest(request), response.text, schema)
                : Err(this.responseError(response));
        });
    }

    get<S extends Schema.ConstraintDecoder<unknown>>(
        path: string,
        schema: S,
    ): Promise<Result<S["Type"], CodedError>> {
        return this.query({ method: "GET", path, idempotent: true }, schema);
    }

    /** Converts an unsuccessful response to an error. */
    responseError(response: HttpResponse): CodedError {
        return createResponseError(this.addresses.join(", "), response);
    }

    /** Names a request and its addresses in error messages. */
    describeRequest(request: HttpRequest): string {
        return `${request.method} ${request.path} at ${this.addresses.join(", ")}`;
    }

    private async sendOnce(request: HttpRequest): Promise<Result<HttpResponse, CodedError>> {
        const connectErrors: string[] = [];
        for (const address of this.addresses) {
            const result = await sendHttpRequest(address, request, this.options);
            const isUnreachable = result.isErr() && result.error.code === ResultCode.NoTargetReachable;
            if (!isUnreachable) {
                return result;
            }
            connectErrors.push(result.error.message);
        }
        const message = connectErrors.join("; ") || "Expected at least one address";
        return Err(CodedError.create(ResultCode.NoTargetReachable, message));
    }
}
