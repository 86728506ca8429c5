import { readFileSync } from "node:fs";
import type { TableProblem } from "@samphireward/core/table-problem";
import { Tables } from "@samphireward/core/tables";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { OptionValues } from "./option-values.js";
import type { TableTexts } from "./table-texts.js";

const readTableFile = (path: string): Result<string, TableProblem[]> => {
    try {
        return Ok(readFileSync(path, "utf8"));
    } catch (err) {
        return Err([{ file: path, key: "", message: `cannot be read: ${(err as Error).message}` }]);
    }
};

/** Reads the files given by `--routes` and `--pools` and validates them together. Returns all problems. */
export const readTables = (options: OptionValues): Result<TableTexts, TableProblem[]> => {
    const routes = readTableFile(options.required("routes"));
    const pools = readTableFile(options.required("pools"));
    if (routes.isErr() || pools.isErr()) {
        return Err([routes, pools].flatMap(text => (text.isErr() ? text.error : [])));
    }
    return Tables.create(routes.value, pools.value).map(() => ({
        routes: routes.value,
        pools: pools.value,
    }));
};
