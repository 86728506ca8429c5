import { text } from "node:stream/consumers";
import { Terminal } from "./terminal.js";

/** Terminal on the standard streams of this process. */
export class ProcessTerminal extends Terminal {
    static create(): ProcessTerminal {
        // A reader such as `head` may close the pipe early, which is not an error of the command.
        process.stdout.on("error", (err: NodeJS.ErrnoException) => {
            if (err.code !== "EPIPE") {
                throw err;
            }
        });
        return new ProcessTerminal();
    }

    override writeOut(output: string): void {
        process.stdout.write(output);
    }

    override writeError(output: string): void {
        process.stderr.write(output);
    }

    override readInput(): Promise<string> {
        return text(process.stdin);
    }
}
