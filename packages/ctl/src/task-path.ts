import type { CommandContext } from "./command-context.js";

/** Path of the task that the first operand and `--pool` name. */
export const taskPath = ({ operands, options }: CommandContext): string =>
    `/v1/tasks/${encodeURIComponent(operands[0] ?? "")}?pool=${encodeURIComponent(options.required("pool"))}`;
