import { Logger } from "tslog";
import type { ProcessLogger } from "./process-logger.js";

/** Numbers of the log levels in tslog. */
const LevelNumbers = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/**
 * Creates a logger that writes one JSON line per entry to standard error: time, level, process, message and fields.
 */
export const createLogger = (process: string, minLevel: keyof typeof LevelNumbers = "info"): ProcessLogger =>
    new Logger<object>({
        name: process,
        type: "hidden",
        minLevel: LevelNumbers[minLevel],
        // Determining the caller's file position would capture a stack trace for each line.
        hideLogPositionForProduction: true,
        attachedTransports: [writeLine],
    });

const writeLine = (entry: object): void => {
    const { _meta: meta, ...args } = entry as Record<string, unknown> & {
        _meta: { date: Date; logLevelName: string; name?: string };
    };
    const values = Object.values(args);
    const message = values.find(value => typeof value === "string");
    const fields = values.find(value => typeof value === "object" && value !== null);
    const line = {
        time: meta.date.toISOString(),
        level: meta.logLevelName,
        process: meta.name,
        message,
        ...fields,
    };
    globalThis.process.stderr.write(`${JSON.stringify(line)}\n`);
};
