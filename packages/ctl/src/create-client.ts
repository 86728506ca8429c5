import { readFileSync } from "node:fs";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { AdminClient } from "./admin-client.js";
import type { OptionValues } from "./option-values.js";

const DefaultTimeoutMs = 10_000;

const readToken = (path: string): Result<string, CodedError> => {
    const fail = (detail: string): Result<never, CodedError> => {
        const message = `Expected a file with a token for --token-file, got "${path}": ${detail}`;
        return Err(CodedError.create(ResultCode.UsageError, message));
    };
    try {
        const token = readFileSync(path, "utf8").trim();
        return /^[\x21-\x7e]+$/.test(token) ? Ok(token) : fail("it is empty or has spaces within the token");
    } catch (err) {
        return fail((err as Error).message);
    }
};

/** The client that the shared options describe. */
export const createClient = (options: OptionValues): Result<AdminClient, CodedError> => {
    const tokenFile = options.text("token-file");
    const token: Result<string | undefined, CodedError> =
        tokenFile === undefined ? Ok(undefined) : readToken(tokenFile);
    return token.map(token =>
        AdminClient.create(options.list("address"), {
            token,
            timeoutMs: options.number("timeout-ms") ?? DefaultTimeoutMs,
        }),
    );
};
