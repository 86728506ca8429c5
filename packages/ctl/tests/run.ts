import { runCtl } from "../src/run-ctl.js";
import { RecordingTerminal } from "./recording-terminal.js";

/** Result of a command line. */
interface RunResult {
    readonly exitCode: number;
    readonly out: string;
    readonly error: string;
    /** The parsed JSON document on standard output; empty without `--json`. */
    readonly json: Record<string, unknown>;
}

/** Runs a command line in this process. */
export const run = async (args: readonly string[], input = ""): Promise<RunResult> => {
    const terminal = new RecordingTerminal(input);
    const exitCode = await runCtl(args, terminal);
    const isJson = args.includes("--json");
    const json = isJson ? (JSON.parse(terminal.out) as Record<string, unknown>) : {};
    return { exitCode, out: terminal.out, error: terminal.error, json };
};
