import { randomBytes } from "node:crypto";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { formatExplanation } from "../format-explanation.js";
import type { HttpRequest } from "../http-request.js";
import { OptionKind } from "../option-kind.js";
import { parseJson } from "../parse-json.js";
import { readFileOption } from "../read-file-option.js";
import { ExplanationResponse } from "../responses/explanation-response.js";

const options = {
    job: {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "File with the body of the request, as callers send it; - is standard input.",
        required: true,
    },
    queue: {
        kind: OptionKind.Text,
        placeholder: "QUEUE",
        description: "Queue of the job. --address names the internal address of a dispatcher here.",
    },
    id: {
        kind: OptionKind.Text,
        placeholder: "ID",
        description: "Id of the job, which determines its cell; a random one by default.",
    },
    pool: {
        kind: OptionKind.Text,
        placeholder: "POOL",
        description: "Pool of the task, for a request of the product's own path.",
    },
} as const;

/** Number of random bytes of an id, which callers write as 16 hexadecimal digits. */
const IdBytes = 8;

const usageError = (message: string): Result<never, CodedError> =>
    Err(CodedError.create(ResultCode.UsageError, message));

/** `explain`: asks where a job or a task would be placed now, and why, without submitting it. */
export class ExplainCommand extends Command {
    override readonly name = "explain";
    override readonly summary = "Explain where a job would be placed now, without submitting it.";
    override readonly options = options;

    static create(): ExplainCommand {
        return new ExplainCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const text = await readFileOption("job", context.options.required("job"), context.terminal);
        const request = text.andThen(body => this.requestFor(context, body));
        if (request.isErr()) {
            return Err(request.error);
        }
        const response = await context.client.query(request.value, ExplanationResponse);
        return response.map(explanation => {
            const { code, ...json } = explanation;
            return { code, json, text: formatExplanation(explanation) };
        });
    }

    private requestFor({ options }: CommandContext, text: string): Result<HttpRequest, CodedError> {
        const queue = options.text("queue");
        const pool = options.text("pool");
        if ((queue === undefined) === (pool === undefined)) {
            return usageError("Expected exactly one of --queue (a job) and --pool (a task)");
        }
        if (queue !== undefined) {
            const id = options.text("id") ?? randomBytes(IdBytes).toString("hex");
            return Ok({ method: "POST", path: "/explain", body: { id, queue, text }, idempotent: true });
        }
        if (options.text("id") !== undefined) {
            return usageError("Expected --id only with --queue; the key of a task is in its request");
        }
        const task = parseJson(text);
        return task === undefined
            ? Err(CodedError.create(ResultCode.BadRequest, "Expected a request in JSON for --job"))
            : Ok({ method: "POST", path: "/v1/tasks/explain", body: { pool, task }, idempotent: true });
    }
}
