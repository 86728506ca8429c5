import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type * as Schema from "effect/Schema";
import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { parseJson } from "./parse-json.js";

const formatIssue = makeFormatterStandardSchemaV1();

/**
 * Parses JSON text and validates it against a schema; the error lists every mismatch. Unknown fields are accepted,
 * so that newer processes can add fields.
 */
export const decodeJson = <S extends Schema.ConstraintDecoder<unknown>>(
    source: string,
    text: string,
    schema: S,
): Result<S["Type"], CodedError> => {
    const decoded = SchemaParser.decodeUnknownResult(schema, { errors: "all" })(parseJson(text));
    if (decoded._tag === "Success") {
        return Ok(decoded.success);
    }
    const issues = formatIssue(decoded.failure).issues.map(
        issue => `${(issue.path ?? []).map(String).join(".") || "document"}: ${issue.message}`,
    );
    const message = `${source} gave another shape than docs/admin-api.md: ${issues.join("; ")}`;
    return Err(CodedError.create(ResultCode.AnswerMalformed, message));
};
