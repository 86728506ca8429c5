import { readFileSync } from "node:fs";
import type * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { decodeToml } from "./decode-toml.js";
import type { TableProblem } from "./table-problem.js";

/** Reads and validates a process's settings file (TOML). An unreadable file is reported as a problem. */
export const loadSettings = <S extends Schema.ConstraintDecoder<unknown>>(
    path: string,
    schema: S,
): Result<S["Type"], TableProblem[]> => {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    } catch (err) {
        return Err([{ file: path, key: "", message: `cannot be read: ${(err as Error).message}` }]);
    }
    return decodeToml(path, text, schema);
};
