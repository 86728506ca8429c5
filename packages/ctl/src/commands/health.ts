import type { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { HealthAnswer } from "../answers/health-answer.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { decodeAnswer } from "../decode-answer.js";

/** `health`: whether the process wants new work. */
export class HealthCommand extends Command {
    override readonly name = "health";
    override readonly summary = "Show whether a process accepts new work.";
    override readonly options = {};

    static create(): HealthCommand {
        return new HealthCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const call = { method: "GET", path: "/v1/health", repeatable: true } as const;
        const answer = await context.client.call(call);
        return answer.andThen(({ status, code, text }) => {
            if (status !== 200 && status !== 503) {
                return Err(context.client.refusal({ status, code, text }));
            }
            return decodeAnswer(context.client.source(call), text, HealthAnswer).map(health => ({
                // A 503 without a code of its own says that the process takes no new work.
                code: status === 200 ? ResultCode.Answered : (code ?? ResultCode.ShuttingDown),
                json: { ...health },
                text: `${health.state}, revision ${health.revision}`,
            }));
        });
    }
}
