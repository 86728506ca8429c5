import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { TaskResponse } from "./responses/task-response.js";
import type { CommandContext } from "./command-context.js";
import { decodeJson } from "./decode-json.js";
import { parseJson } from "./parse-json.js";

/**
 * The task that the first operand and `--pool` name. The HTTP status follows the task's code, so an answer that
 * has a state is read whatever its status is.
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
