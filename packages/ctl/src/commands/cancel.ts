import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { Outcome } from "@samphireward/core/outcome";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { AdminClient } from "../admin-client.js";
import { CancelResponse } from "../responses/cancel-response.js";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { OptionKind } from "../option-kind.js";
import { poolOption } from "../pool-option.js";
import { readFileOption } from "../read-file-option.js";

type KeyResult = CancelResponse["results"][number] & { readonly message?: string };

/** Limits a request to about 100 KB of JSON with keys of 200 characters. */
const MaxKeysPerRequest = 500;

const isCancelled = ({ code }: KeyResult): boolean => {
    const { outcome } = describeCode(code);
    return outcome === Outcome.Answered || outcome === Outcome.Cancelled;
};

const cancelBatch = async (
    client: AdminClient,
    pool: string,
    keys: readonly string[],
): Promise<KeyResult[]> => {
    const request = {
        method: "POST",
        path: "/v1/tasks/cancel",
        body: { pool, keys },
        idempotent: true,
    } as const;
    const response = await client.query(request, CancelResponse);
    if (response.isErr()) {
        const { code, message } = response.error;
        return keys.map(key => ({ key, code, message }));
    }
    const codes = new Map(response.value.results.map(({ key, code }) => [key, code]));
    const message = "The answer does not name this key";
    return keys.map(key => ({
        key,
        ...(codes.has(key)
            ? { code: codes.get(key) ?? ResultCode.Answered }
            : { code: ResultCode.AnswerMalformed, message }),
    }));
};

/** Result code of the whole command. A code that says "may have run" takes precedence over a refusal. */
const overallCode = (failed: readonly KeyResult[]): ResultCode => {
    const uncertain = failed.find(({ code }) => describeCode(code).outcome === Outcome.MayHaveRun);
    return (uncertain ?? failed[0])?.code ?? ResultCode.Answered;
};

const summarize = (results: readonly KeyResult[]): CommandResult => {
    const failed = results.filter(result => !isCancelled(result));
    const lines = failed.map(({ key, code, message }) => {
        const info = describeCode(code);
        return `${key}: ${code} ${info.name}: ${message ?? info.meaning}`;
    });
    const head = `${results.length - failed.length} of ${results.length} tasks cancelled`;
    return {
        code: overallCode(failed),
        json: { cancelled: results.length - failed.length, results },
        text: [head, ...lines].join("\n"),
    };
};

/** `cancel`: cancels tasks by their keys. The command is idempotent. */
export class CancelCommand extends Command {
    override readonly name = "cancel";
    override readonly summary = "Cancel tasks of one pool.";
    override readonly options = {
        ...poolOption,
        from: {
            kind: OptionKind.Text,
            placeholder: "FILE",
            description: "File with one key on each line; - is standard input.",
        },
    };
    override readonly operands = "[KEY...]";
    override readonly operandCount = [0, Infinity] as const;

    static create(): CancelCommand {
        return new CancelCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const keys = await this.readKeys(context);
        if (keys.isErr()) {
            return Err(keys.error);
        }
        const results: KeyResult[] = [];
        for (let start = 0; start < keys.value.length; start += MaxKeysPerRequest) {
            const batch = keys.value.slice(start, start + MaxKeysPerRequest);
            results.push(...(await cancelBatch(context.client, context.options.required("pool"), batch)));
        }
        return Ok(summarize(results));
    }

    private async readKeys(context: CommandContext): Promise<Result<string[], CodedError>> {
        const from = context.options.text("from");
        const fileText = from === undefined ? Ok("") : await readFileOption("from", from, context.terminal);
        return fileText.andThen(text => {
            const lines = text.split("\n").map(line => line.trim());
            const keys = [...new Set([...context.operands, ...lines])].filter(key => key !== "");
            const message = "Expected at least one key, as an operand or with --from";
            return keys.length > 0 ? Ok(keys) : Err(CodedError.create(ResultCode.UsageError, message));
        });
    }
}
