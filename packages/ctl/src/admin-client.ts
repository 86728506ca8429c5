import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { decodeAnswer } from "./decode-answer.js";
import type { HttpAnswer } from "./http-answer.js";
import type { HttpCall } from "./http-call.js";
import { httpExchange } from "./http-exchange.js";
import { parseJson } from "./parse-json.js";

/** Calls in total when the answer of a repeatable call is lost. */
const AttemptsAfterLoss = 3;

const isLost = (result: Result<HttpAnswer, CodedError>): boolean =>
    result.isErr() && describeCode(result.error.code).outcome === "may-have-run";

/** A refusal of a repeated call proves nothing about the first one, whose answer was lost. */
const provesNothing = (call: HttpCall, result: Result<HttpAnswer, CodedError>): boolean => {
    const code = result.isErr() ? result.error.code : result.value.code;
    const isRefusal = code !== undefined && describeCode(code).outcome === "not-run";
    return isRefusal && (call.method !== "GET" || result.isErr());
};

const messageOf = (answer: HttpAnswer, code: ResultCode): string => {
    const body = parseJson(answer.text);
    const detail =
        typeof body === "object" && body !== null && "message" in body ? String(body.message) : undefined;
    return detail ?? describeCode(code).meaning;
};

const refusal = (address: string, answer: HttpAnswer): CodedError => {
    if (answer.code !== undefined) {
        return CodedError.create(answer.code, messageOf(answer, answer.code));
    }
    if (answer.status === describeCode(ResultCode.Unauthorized).httpStatus) {
        const message = `${address} requires a valid token. Give it with --token-file.`;
        return CodedError.create(ResultCode.Unauthorized, message);
    }
    const message = `Expected an answer with a result code from ${address}, got HTTP status ${answer.status}`;
    return CodedError.create(ResultCode.AnswerMalformed, message);
};

/** Client of the HTTP ports of entry processes (docs/admin-api.md). Calls never reject. */
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

    /** Any whole answer, also a refusal. Repeats a repeatable call whose answer is lost. */
    async call(call: HttpCall): Promise<Result<HttpAnswer, CodedError>> {
        let result = await this.callOnce(call);
        for (
            let attempt = 1;
            call.repeatable && isLost(result) && attempt < AttemptsAfterLoss;
            attempt += 1
        ) {
            const repeated = await this.callOnce(call);
            result = provesNothing(call, repeated) ? result : repeated;
        }
        return result;
    }

    /** The decoded body of a 2xx answer; any other answer is an error with its code. */
    async query<S extends Schema.ConstraintDecoder<unknown>>(
        call: HttpCall,
        schema: S,
    ): Promise<Result<S["Type"], CodedError>> {
        const result = await this.call(call);
        return result.andThen(answer => {
            const isSuccess = answer.status >= 200 && answer.status < 300;
            return isSuccess
                ? decodeAnswer(this.source(call), answer.text, schema)
                : Err(this.refusal(answer));
        });
    }

    get<S extends Schema.ConstraintDecoder<unknown>>(
        path: string,
        schema: S,
    ): Promise<Result<S["Type"], CodedError>> {
        return this.query({ method: "GET", path, repeatable: true }, schema);
    }

    /** The error that stands for an answer that is not a success. */
    refusal(answer: HttpAnswer): CodedError {
        return refusal(this.addresses.join(", "), answer);
    }

    /** How error messages name the sender of an answer. */
    source(call: HttpCall): string {
        return `${call.method} ${call.path} at ${this.addresses.join(", ")}`;
    }

    private async callOnce(call: HttpCall): Promise<Result<HttpAnswer, CodedError>> {
        const refused: string[] = [];
        for (const address of this.addresses) {
            const result = await httpExchange(address, call, this.options);
            const isUnreachable = result.isErr() && result.error.code === ResultCode.NoTargetReachable;
            if (!isUnreachable) {
                return result;
            }
            refused.push(result.error.message);
        }
        const message = refused.join("; ") || "Expected at least one address";
        return Err(CodedError.create(ResultCode.NoTargetReachable, message));
    }
}
