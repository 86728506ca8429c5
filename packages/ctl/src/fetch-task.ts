import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { TaskResponse } from "./responses/task-response.js";
import type { CommandContext } from "./command-context.js";
import { decodeJson } from "./decode-json.js";
import { parseJson } from "./parse-json.js";

/**
 * Fetches the task given by the first operand and `--pool`. The HTTP status depends on the task's code, so a
 * response body with a state is decoded whatever the HTTP status is.
 */
export const fetchTask = async ({
    client,
    operands,
    options,
}: CommandContext): Promise<Result<TaskResponse, CodedError>> => {
    const key = encodeURIComponent(operands[0] ?? "");
    const path = `/v1/tasks/${key}?pool=${encodeURIComponent(options.required("pool"))}`;
    const request = { method: "GET", path, idempotent: true } as const;
    const response = await client.send(request);
    return response.andThen(response => {
        const body = parseJson(response.text);
        const hasState = typeof body === "object" && body !== null && "state" in body;
        return hasState || response.status === 200
            ? decodeJson(client.describeRequest(request), response.text, TaskResponse)
            : Err(client.responseError(response));
    });
};
