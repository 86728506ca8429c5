import { OptionKind } from "@samphireward/ctl/option-kind";
import type { OptionSpec } from "@samphireward/ctl/option-spec";

/** Options of samphireward-report. */
export const reportOptions: Readonly<Record<string, OptionSpec>> = {
    html: { kind: OptionKind.Text, placeholder: "FILE", description: "Write one self-contained HTML page." },
    save: {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "Write the readings as JSON; the file is a source for later reports.",
    },
    "interval-ms": {
        kind: OptionKind.Integer,
        placeholder: "MS",
        description:
            "Time between two readings of each process, for rates (default 5000; 0 for one reading).",
    },
    "token-file": {
        kind: OptionKind.Text,
        placeholder: "FILE",
        description: "File with the bearer token of the administration ports.",
    },
    "timeout-ms": {
        kind: OptionKind.Integer,
        placeholder: "MS",
        description: "Longest time for one call (default 10000).",
    },
    json: { kind: OptionKind.Flag, placeholder: "", description: "Print the report as JSON." },
    help: { kind: OptionKind.Flag, placeholder: "", description: "Print this help." },
};
