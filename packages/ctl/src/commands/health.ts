import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { HealthResponse } from "../responses/health-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { decodeJson } from "../decode-json.js";

/** `health`: shows whether the process accepts new work. */
export class HealthCommand extends Command {
    override readonly name = "health";
    override readonly summary = "Show whether a process accepts new work.";
    override readonly options = {};

    static create(): HealthCommand {
        return new HealthCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const request = { method: "GET", path: "/v1/health", idempotent: true } as const;
        const response = await context.client.send(request);
        return response.andThen(({ status, code, text }) => {
            if (status !== 200 && status !== 503) {
                return Err(context.client.responseError({ status, code, text }));
            }
            return decodeJson(context.client.describeRequest(request), text, HealthResponse).map(health => ({
                // A 503 response without a result code means that the process accepts no new work.
                code: status === 200 ? ResultCode.Answered : (code ?? ResultCode.ShuttingDown),
                json: { ...health },
                text: `${health.state}, revision ${health.revision}`,
            }));
        });
    }
}
