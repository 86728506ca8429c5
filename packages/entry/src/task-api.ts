import type { IncomingMessage, ServerResponse } from "node:http";
import { CodedError } from "@samphireward/core/coded-error";
import type { Pool } from "@samphireward/core/pool";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Tables } from "@samphireward/core/tables";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";
import { makeFormatterStandardSchemaV1 } from "effect/SchemaIssue";
import * as SchemaParser from "effect/SchemaParser";
import { readLimitedBody } from "./read-limited-body.js";
import { sendWithCode } from "./send-with-code.js";
import type { TaskGateway } from "./task-gateway.js";
import { taskStatusJson } from "./task-status-json.js";
import { TaskSubmissionSchema } from "./task-submission-schema.js";

const DefaultExpectedRunMs = 60_000;
const decodeSubmission = SchemaParser.decodeUnknownResult(TaskSubmissionSchema, {
    onExcessProperty: "error",
    errors: "all",
});
const formatIssue = makeFormatterStandardSchemaV1();

const parseSubmission = (pool: Pool, text: string): TaskSpec => {
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

/** Reads the task key that follows the route's path; empty without one. */
const parseKey = (req: IncomingMessage, route: Route): string => {
    try {
        const path = new URL(req.url ?? "/", "http://localhost").pathname;
        return decodeURIComponent(path.slice(route.path.length).replace(/^\//, ""));
    } catch {
        throw CodedError.create(ResultCode.BadRequest, "Expected a path with valid percent-encoding");
    }
};

/** HTTP API for the callers' task operations: submit (POST), look up (GET) and cancel (DELETE). */
export class TaskApi {
    private constructor(private readonly gateway: TaskGateway) {}

    static create(gateway: TaskGateway): TaskApi {
        return new TaskApi(gateway);
    }

    /** Handles one request of a route of kind `task`. Returns the code that was sent. Rejects on an unexpected error. */
    async handle(
        req: IncomingMessage,
        res: ServerResponse,
        route: Route,
        tables: Tables,
    ): Promise<ResultCode> {
        try {
            const pool = tables.pools.get(route.pool);
            if (pool === undefined) {
                throw CodedError.create(ResultCode.UnknownRoute, `No pool ${route.pool}`);
            }
            const reply = await this.dispatch(req, route, pool);
            return sendWithCode(res, reply.code as ResultCode, taskStatusJson(reply));
        } catch (err) {
            if (!(err instanceof CodedError)) {
                throw err;
            }
            return sendWithCode(res, err.code, { code: err.code, message: err.message });
        }
    }

    private async dispatch(req: IncomingMessage, route: Route, pool: Pool): Promise<TaskReply> {
        const key = parseKey(req, route);
        if (req.method === "POST" && key === "") {
            const text = await readLimitedBody(req, route.maxBodyBytes);
            return this.gateway.submit(pool, parseSubmission(pool, text), route.deadline);
        }
        if (req.method === "GET" && key !== "") {
            return this.gateway.lookup(pool, key, route.deadline);
        }
        if (req.method === "DELETE" && key !== "") {
            return this.gateway.cancel(pool, key, route.deadline);
        }
        throw CodedError.create(
            ResultCode.BadRequest,
            `Expected POST ${route.path}, or GET or DELETE ${route.path}/KEY`,
        );
    }
}
