import { readFileSync } from "node:fs";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { OptionValues } from "./option-values.js";

const readTokenFile = (path: string): Result<string, CodedError> => {
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

/** Reads the token from the file given by `--token-file`; `undefined` without the option. */
export const readToken = (options: OptionValues): Result<string | undefined, CodedError> => {
    const path = options.text("token-file");
    return path === undefined ? Ok(undefined) : readTokenFile(path);
};
