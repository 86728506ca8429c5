import { readFileSync } from "node:fs";
import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import { decodeJson } from "@samphireward/ctl/decode-json";
import { parseJson } from "@samphireward/ctl/parse-json";
import * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { MetricsSnapshot } from "./metrics-snapshot.js";

const SnapshotList = Schema.Array(MetricsSnapshot);

/** Reads a saved response of GET /v1/metrics, or an array of them as written by `--save`. */
export const readFileSnapshots = (path: string): Result<readonly MetricsSnapshot[], CodedError> => {
    let text: string;
    try {
        text = readFileSync(path, "utf8");
    } catch (err) {
        const message = `Expected an address (IP:PORT) or a readable file, got "${path}": ${(err as Error).message}`;
        return Err(CodedError.create(ResultCode.UsageError, message));
    }
    return Array.isArray(parseJson(text))
        ? decodeJson(path, text, SnapshotList)
        : decodeJson(path, text, MetricsSnapshot).map(snapshot => [snapshot]);
};
