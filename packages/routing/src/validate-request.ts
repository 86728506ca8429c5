import type { IncomingMessage } from "node:http";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { HeaderName } from "./header-name.js";
import type { RequestHead } from "./request-head.js";

/** Printable ASCII without spaces. */
const namePattern = /^[\x21-\x7e]{1,128}$/;
const isName = (text: string | string[] | undefined): text is string =>
    typeof text === "string" && namePattern.test(text);

const requestTimeoutMs = (header: string | string[] | undefined, route: Route): number | undefined => {
    if (header === undefined) {
        return route.deadline;
    }
    const isNumber = typeof header === "string" && /^\d{1,9}$/.test(header);
    return isNumber ? Math.min(Number(header), route.deadline) : undefined;
};

/**
 * Validates the method, the system's headers and the body length of a request. The error is the result code for the
 * caller.
 */
export const validateRequest = (req: IncomingMessage, route: Route): Result<RequestHead, ResultCode> => {
    const { headers } = req;
    const customer = headers[HeaderName.Customer];
    const key = headers[HeaderName.IdempotencyKey];
    const timeoutMs = requestTimeoutMs(headers[HeaderName.DeadlineMs], route);
    const requestId = headers[HeaderName.RequestId];
    const areNamesValid = [customer, key, requestId].every(name => name === undefined || isName(name));
    if (!areNamesValid || timeoutMs === undefined || req.method === "CONNECT") {
        return Err(ResultCode.BadRequest);
    }
    const length = Number(headers["content-length"] ?? 0);
    if (length > route.maxBodyBytes) {
        return Err(ResultCode.RequestTooLarge);
    }
    return Ok({
        route,
        customer: typeof customer === "string" ? customer : "",
        idempotencyKey: typeof key === "string" ? key : undefined,
        timeoutMs,
        hasBody: length > 0 || headers["transfer-encoding"] !== undefined,
    });
};
