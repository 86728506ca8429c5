import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import { OptionKind } from "../option-kind.js";
import type { OptionValues } from "../option-values.js";
import { parseJson } from "../parse-json.js";
import { readFileOption } from "../read-file-option.js";

const options = {
    path: {
        kind: OptionKind.Text,
        placeholder: "PATH",
        description:
            "Path of a route of kind task, such as /cutting-plan. --address names a callers' port here.",
        required: true,
    },
    key: {
        kind: OptionKind.Text,
        placeholder: "KEY",
        description: "Key of the task. Submitting the same key again returns the task that was accepted.",
        required: true,
    },
    payload: { kind: OptionKind.Text, placeholder: "TEXT", description: "Work for the worker." },
    "payload-file": {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "File with the work for the worker; - is standard input.",
    },
    processors: { kind: OptionKind.Number, placeholder: "CORES", description: "Processors to reserve." },
    "memory-mb": { kind: OptionKind.Number, placeholder: "MB", description: "Memory to reserve." },
    accelerators: { kind: OptionKind.Integer, placeholder: "N", description: "Accelerators to reserve." },
    "expected-run-ms": {
        kind: OptionKind.Integer,
        placeholder: "MS",
        description: "Expected run time; a hint for placement.",
    },
} as const;

const usageError = (message: string): Result<never, CodedError> =>
    Err(CodedError.create(ResultCode.UsageError, message));

const readResources = (values: OptionValues): Result<object, CodedError> => {
    const processors = values.number("processors");
    const memoryMb = values.number("memory-mb");
    const accelerators = values.number("accelerators");
    if (processors === undefined && memoryMb === undefined && accelerators === undefined) {
        return Ok({});
    }
    // An omitted size would reserve nothing, so both sizes are required.
    if (processors === undefined || memoryMb === undefined) {
        return usageError("Expected both --processors and --memory-mb when a size is given");
    }
    return Ok({ resources: { processors, memoryMb, accelerators: accelerators ?? 0 } });
};

const readPayload = (context: CommandContext): Promise<Result<string, CodedError>> => {
    const text = context.options.text("payload");
    const file = context.options.text("payload-file");
    if ((text === undefined) === (file === undefined)) {
        return Promise.resolve(usageError("Expected exactly one of --payload and --payload-file"));
    }
    return file === undefined
        ? Promise.resolve(Ok(text ?? ""))
        : readFileOption("payload-file", file, context.terminal);
};

/** `submit`: submits a task at an entry process's port for callers; resubmits the same key after a lost response. */
export class SubmitCommand extends Command {
    override readonly name = "submit";
    override readonly summary = "Submit a task at an entry process's port for callers.";
    override readonly options = options;

    static create(): SubmitCommand {
        return new SubmitCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const resources = readResources(context.options);
        const payload = await readPayload(context);
        if (resources.isErr() || payload.isErr()) {
            return resources.isErr() ? Err(resources.error) : Err(payload.unwrapErr());
        }
        const expectedRunMs = context.options.number("expected-run-ms");
        return this.submitTask(context, {
            key: context.options.required("key"),
            ...resources.value,
            ...(expectedRunMs === undefined ? {} : { expectedRunMs }),
            payload: payload.value,
        });
    }

    private async submitTask(
        context: CommandContext,
        body: { readonly key: string; readonly payload: string },
    ): Promise<Result<CommandResult, CodedError>> {
        const path = context.options.required("path");
        if (!path.startsWith("/")) {
            return usageError(`Expected a path that starts with "/" for --path, got "${path}"`);
        }
        const response = await context.client.send({ method: "POST", path, body, idempotent: true });
        return response.andThen(({ status, code, text }) => {
            if (code === undefined || status >= 300) {
                return Err(context.client.responseError({ status, code, text }));
            }
            const info = describeCode(code);
            return Ok({
                code,
                json: { key: body.key, answer: parseJson(text) },
                text: `${body.key}: ${info.meaning}`,
            });
        });
    }
}
