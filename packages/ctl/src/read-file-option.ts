import { readFile } from "node:fs/promises";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { Terminal } from "./terminal.js";

/** Reads the file given by an option; `-` is standard input. */
export const readFileOption = async (
    option: string,
    path: string,
    terminal: Terminal,
): Promise<Result<string, CodedError>> => {
    try {
        return Ok(path === "-" ? await terminal.readInput() : await readFile(path, "utf8"));
    } catch (err) {
        const message = `Expected a readable file for --${option}, got "${path}": ${(err as Error).message}`;
        return Err(CodedError.create(ResultCode.UsageError, message));
    }
};
