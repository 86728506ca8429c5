import { OptionKind } from "./option-kind.js";

/** Option of the commands that look up or cancel tasks. */
export const poolOption = {
    pool: {
        kind: OptionKind.Text,
        placeholder: "POOL",
        description: "Pool of the task; together with the key it determines the task's cell.",
        required: true,
    },
} as const;
