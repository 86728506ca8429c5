import type { IncomingMessage, ServerResponse } from "node:http";
import { CodedError } from "@samphireward/core/coded-error";
import type { Pool } from "@samphireward/core/pool";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Tables } from "@samphireward/core/tables";
import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";
import { parseSubmission } from "./parse-submission.js";
import { readLimitedBody } from "./read-limited-body.js";
import { sendWithCode } from "./send-with-code.js";
import type { TaskGateway } from "./task-gateway.js";
import { taskStatusJson } from "./task-status-json.js";

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
