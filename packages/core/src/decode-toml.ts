import type * as Schema from "effect/Schema";
import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import { parse, TomlError } from "smol-toml";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { TableProblem } from "./table-problem.js";

const formatIssue = makeFormatterStandardSchemaV1();

const parseText = (file: string, text: string): Result<Record<string, unknown>, TableProblem[]> => {
    try {
        return Ok(parse(text));
    } catch (err) {
        if (err instanceof TomlError) {
            const reason = err.message.split("\n")[0] ?? "";
            return Err([{ file, key: "", message: `line ${err.line}, column ${err.column}: ${reason}` }]);
        }
        throw err;
    }
};

/**
 * Parses TOML text and validates it against a schema. Reports all unknown keys, missing keys, wrong types and
 * invalid units, each with its file and key.
 */
export const decodeToml = <S extends Schema.ConstraintDecoder<unknown>>(
    file: string,
    text: string,
    schema: S,
): Result<S["Type"], TableProblem[]> =>
    parseText(file, text).andThen(document => {
        const decoded = SchemaParser.decodeUnknownResult(schema, {
            onExcessProperty: "error",
            errors: "all",
        })(document);
        if (decoded._tag === "Success") {
            return Ok(decoded.success);
        }
        const problems = formatIssue(decoded.failure).issues.map(issue => ({
            file,
            key: (issue.path ?? []).map(String).join("."),
            message: issue.message,
        }));
        return Err(problems);
    });
