import { OptionKind } from "./option-kind.js";
import type { OptionSpec } from "./option-spec.js";

/** Options that every command accepts. */
export const sharedOptions: Readonly<Record<string, OptionSpec>> = {
    address: {
        kind: OptionKind.Address,
        placeholder: "IP:PORT",
        description:
            "Administration port of an entry process. Can be repeated: the next one is used when a connection is refused.",
        multiple: true,
    },
    "token-file": {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "File with the bearer token of the administration port.",
    },
    "timeout-ms": {
        kind: OptionKind.Integer,
        placeholder: "MS",
        description: "Longest time for one call (default 10000).",
    },
    json: { kind: OptionKind.Flag, placeholder: "", description: "Print one JSON document." },
    help: { kind: OptionKind.Flag, placeholder: "", description: "Print this help." },
};
