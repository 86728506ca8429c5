import type * as Schema from "effect/Schema";
import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";

const formatIssue = makeFormatterStandardSchemaV1();

/** Parses a stored JSON value and validates it against a schema, ignoring unknown keys. The error lists the issues. */
export const decodeJson = <S extends Schema.ConstraintDecoder<unknown>>(
    schema: S,
    text: string,
): Result<S["Type"], string> => {
    let json: unknown;
    try {
        json = JSON.parse(text);
    } catch (err) {
        return Err(`not JSON: ${(err as Error).message}`);
    }
    const decoded = SchemaParser.decodeUnknownResult(schema)(json);
    if (decoded._tag === "Success") {
        return Ok(decoded.success);
    }
    const issues = formatIssue(decoded.failure).issues;
    return Err(
        issues.map(issue => `${(issue.path ?? []).map(String).join(".")}: ${issue.message}`).join("; "),
    );
};
