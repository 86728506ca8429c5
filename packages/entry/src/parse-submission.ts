import { CodedError } from "@samphireward/core/coded-error";
import type { Pool } from "@samphireward/core/pool";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import { TaskSubmissionSchema } from "./task-submission-schema.js";

const DefaultExpectedRunMs = 60_000;
const decodeSubmission = SchemaParser.decodeUnknownResult(TaskSubmissionSchema, {
    onExcessProperty: "error",
    errors: "all",
});
const formatIssue = makeFormatterStandardSchemaV1();

/** Parses the body of a caller's task submission. Throws a `CodedError` that lists what is wrong. */
export const parseSubmission = (pool: Pool, text: string): TaskSpec => {
    let json: unknown;
    try {
        json = JSON.parse(text);
    } catch {
        throw CodedError.create(ResultCode.BadRequest, "The body is not valid JSON");
    }
    const decoded = decodeSubmission(json);
    if (decoded._tag === "Failure") {
        const issues = formatIssue(decoded.failure).issues;
        const message = issues
            .map(issue => `${(issue.path ?? []).map(String).join(".")}: ${issue.message}`)
            .join("; ");
        throw CodedError.create(ResultCode.BadRequest, message);
    }
    const { key, resources, expectedRunMs, payload } = decoded.success;
    const requestedResources = resources ?? pool.taskDefault;
    if (requestedResources === undefined) {
        throw CodedError.create(
            ResultCode.BadRequest,
            "resources: expected, because the pool has no taskDefault",
        );
    }
    return {
        key,
        pool: pool.name,
        resources: Resources.create(requestedResources),
        expectedRunMs: expectedRunMs ?? DefaultExpectedRunMs,
        payload: payload ?? "",
    };
};
