import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { AdminClient } from "./admin-client.js";
import { defaultTimeoutMs } from "./default-timeout-ms.js";
import type { OptionValues } from "./option-values.js";
import { readToken } from "./read-token.js";

/** Creates a client from the shared options. */
export const createClient = (options: OptionValues): Result<AdminClient, CodedError> =>
    readToken(options).map(token =>
        AdminClient.create(options.list("address"), {
            token,
            timeoutMs: options.number("timeout-ms") ?? defaultTimeoutMs,
        }),
    );
