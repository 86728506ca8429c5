import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { StoredConfig } from "./stored-config.js";

const formatIssue = makeFormatterStandardSchemaV1();
const decode = SchemaParser.decodeUnknownResult(StoredConfig);

/** Parses the value of `config/current`. The error names what is wrong. */
export const parseStoredConfig = (value: string): Result<StoredConfig, string> => {
    let json: unknown;
    try {
        json = JSON.parse(value);
    } catch (err) {
        return Err(`not JSON: ${(err as Error).message}`);
    }
    const decoded = decode(json);
    if (decoded._tag === "Success") {
        return Ok(decoded.success);
    }
    const issues = formatIssue(decoded.failure).issues;
    return Err(
        issues.map(issue => `${(issue.path ?? []).map(String).join(".")}: ${issue.message}`).join("; "),
    );
};
