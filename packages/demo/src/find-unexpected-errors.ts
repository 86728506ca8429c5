import { readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";

/** Messages of the processes about errors that nothing expected and that end no process. */
const messages: ReadonlySet<unknown> = new Set([
    "background operation failed",
    "loop failed",
    "unexpected error in a request",
    "unhandled rejection",
]);
const MaxLineLength = 1_000;

const messageOf = (line: string): unknown => {
    try {
        return (JSON.parse(line) as { message?: unknown } | null)?.message;
    } catch {
        return undefined;
    }
};

/** Finds the log lines of a deployment's directory that report an unexpected error, each with the log's name. */
export const findUnexpectedErrors = (dir: string): string[] =>
    readdirSync(dir)
        .filter(file => file.endsWith(".log"))
        .flatMap(file =>
            readFileSync(join(dir, file), "utf8")
                .split("\n")
                .filter(line => messages.has(messageOf(line)))
                .map(line => `${file}: ${line.slice(0, MaxLineLength)}`),
        );
