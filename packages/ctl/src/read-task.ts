import type { CodedError } from "@samphireward/core/coded-error";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { TaskAnswer } from "./answers/task-answer.js";
import type { CommandContext } from "./command-context.js";
import { decodeAnswer } from "./decode-answer.js";
import { parseJson } from "./parse-json.js";

/**
 * The task that the first operand and `--pool` name. The HTTP status follows the task's code, so an answer that
 * has a state is read whatever its status is.
 */
export const readTask = async ({
    client,
    operands,
    options,
}: CommandContext): Promise<Result<TaskAnswer, CodedError>> => {
    const key = encodeURIComponent(operands[0] ?? "");
    const path = `/v1/tasks/${key}?pool=${encodeURIComponent(options.required("pool"))}`;
    const call = { method: "GET", path, repeatable: true } as const;
    const answer = await client.call(call);
    return answer.andThen(answer => {
        const body = parseJson(answer.text);
        const hasState = typeof body === "object" && body !== null && "state" in body;
        return hasState || answer.status === 200
            ? decodeAnswer(client.source(call), answer.text, TaskAnswer)
            : Err(client.refusal(answer));
    });
};
