import { CodedError } from "@samphireward/core/coded-error";
import { describeCode } from "@samphireward/core/describe-code";
import type { JsonRequest } from "@samphireward/core/json-request";
import type { JsonResponse } from "@samphireward/core/json-response";
import type { JsonServer } from "@samphireward/core/json-server";
import type { Pool } from "@samphireward/core/pool";
import { ResultCode } from "@samphireward/core/result-code";
import type { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import * as Schema from "effect/Schema";
import * as SchemaParser from "effect/SchemaParser";
import type { CellConnectors } from "./cell-connectors.js";
import { CellSummary } from "./cell-summary.js";
import { mergePoolMetrics } from "./merge-pool-metrics.js";
import type { RouteMetrics } from "./route-metrics.js";
import type { TaskGateway } from "./task-gateway.js";
import { taskStatusJson } from "./task-status-json.js";

const CallTimeoutMs = 2_000;
const TaskDeadlineMs = 5_000;

const PutConfig = Schema.Struct({
    expectedRevision: Schema.Int,
    changeId: Schema.String,
    author: Schema.String,
    routes: Schema.String,
    pools: Schema.String,
});
const CancelTasks = Schema.Struct({ pool: Schema.String, keys: Schema.Array(Schema.String) });
const WorkerCommand = Schema.Struct({ cell: Schema.String });

/** What the administration port shows and changes. */
interface AdminParts {
    readonly runtime: ProcessRuntime;
    readonly connectors: CellConnectors;
    readonly gateway: TaskGateway;
    readonly metrics: RouteMetrics;
    readonly health: () => { readonly state: string; readonly ready: boolean };
    readonly counters: () => Record<string, number>;
}

const decodeBody = <S extends Schema.ConstraintDecoder<unknown>>(schema: S, body: unknown): S["Type"] => {
    const decoded = SchemaParser.decodeUnknownResult(schema, { onExcessProperty: "error" })(body);
    if (decoded._tag === "Failure") {
        throw CodedError.create(ResultCode.BadRequest, "The body is not of the documented shape");
    }
    return decoded.success;
};

const respond = (code: ResultCode, body: Record<string, unknown>): JsonResponse => ({
    status: describeCode(code).httpStatus,
    body: { code, ...body },
});

/** The administration port of an entry process (docs/admin-api.md). */
export class AdminApi {
    private constructor(private readonly parts: AdminParts) {}

    /** Adds the calls to a server. */
    static mount(server: JsonServer, parts: AdminParts): void {
        const api = new AdminApi(parts);
        server
            .on("GET", "/v1/health", () => api.health())
            .on("GET", "/v1/config", () => api.readConfig())
            .on("PUT", "/v1/config", req => api.putConfig(req))
            .on("GET", "/v1/config/history", () => ok({ changes: parts.runtime.config.history }))
            .on("GET", "/v1/members", () => api.members())
            .on("GET", "/v1/cells", async () => ok({ cells: await api.cells() }))
            .on("GET", "/v1/tasks/:key", req => api.readTask(req))
            .on("POST", "/v1/tasks/cancel", req => api.cancelTasks(req))
            .on("POST", "/v1/workers/:name/:command", req => api.commandWorker(req))
            .on("GET", "/v1/metrics", () => api.metrics());
    }

    private health(): JsonResponse {
        const { state, ready } = this.parts.health();
        return { status: ready ? 200 : 503, body: { state, revision: this.parts.runtime.config.revision } };
    }

    private readConfig(): JsonResponse {
        const document = this.parts.runtime.config.applied?.document;
        return ok(document ?? { revision: 0, changeId: "", author: "", timeMs: 0, routes: "", pools: "" });
    }

    private async putConfig({ body }: JsonRequest): Promise<JsonResponse> {
        const { expectedRevision, ...change } = decodeBody(PutConfig, body);
        const result = await this.parts.runtime.config.propose(expectedRevision, change);
        if (result.isOk()) {
            return respond(ResultCode.TablesApplied, { revision: result.value.revision });
        }
        const { code, message, problems, current } = result.error;
        return respond(code, { message, ...(problems && { problems }), ...(current && { current }) });
    }

    private members(): JsonResponse {
        const members = this.parts.runtime.membership.members.map(member => ({
            name: member.name,
            role: member.role,
            region: member.region,
            dataCentre: member.dataCentre,
            address: member.address,
            revision: member.configRevision,
            state: member.state,
        }));
        return ok({ members });
    }

    /** The cells whose owner answers; others are left out. */
    private async cells(): Promise<CellSummary[]> {
        const { connectors } = this.parts;
        const answers = await Promise.allSettled(
            connectors.cells.map(async cell => {
                const stream = connectors.streamTo(cell);
                const reply = await stream?.callCell(
                    requestId => ({ case: "cellLookup", value: { requestId } }),
                    CallTimeoutMs,
                );
                return decodeBody(CellSummary, JSON.parse(reply?.json ?? "{}"));
            }),
        );
        return answers.filter(answer => answer.status === "fulfilled").map(answer => answer.value);
    }

    private async readTask({ params, query }: JsonRequest): Promise<JsonResponse> {
        const pool = this.pool(query.get("pool") ?? "");
        const reply = await this.parts.gateway.lookup(pool, params["key"] ?? "", TaskDeadlineMs);
        return respond(reply.code as ResultCode, taskStatusJson(reply));
    }

    private async cancelTasks({ body }: JsonRequest): Promise<JsonResponse> {
        const { pool: name, keys } = decodeBody(CancelTasks, body);
        const pool = this.pool(name);
        const results = await Promise.all(
            keys.map(async key => {
                try {
                    const { code } = await this.parts.gateway.cancel(pool, key, TaskDeadlineMs);
                    return { key, code };
                } catch (err) {
                    return { key, code: (err as CodedError).code };
                }
            }),
        );
        return ok({ results });
    }

    private async commandWorker({ params, body }: JsonRequest): Promise<JsonResponse> {
        const { cell } = decodeBody(WorkerCommand, body);
        const stream = this.parts.connectors.streamTo(cell);
        if (stream === undefined) {
            throw CodedError.create(ResultCode.NoCellOwner, `No owner of cell ${cell} is connected`);
        }
        const { name = "", command = "" } = params;
        const reply = await stream.callCell(
            requestId => ({ case: "workerCommand", value: { requestId, worker: name, command } }),
            CallTimeoutMs,
        );
        return respond(reply.code as ResultCode, {});
    }

    private async metrics(): Promise<JsonResponse> {
        const { runtime, metrics, counters } = this.parts;
        return ok({
            process: runtime.membership.self.name,
            dataCentre: runtime.membership.self.dataCentre,
            wallMs: runtime.clock.wallMs(),
            counters: counters(),
            routes: metrics.snapshot(),
            pools: mergePoolMetrics(await this.cells()),
        });
    }

    private pool(name: string): Pool {
        const pool = this.parts.runtime.config.applied?.tables.pools.get(name);
        if (pool === undefined) {
            throw CodedError.create(
                ResultCode.BadRequest,
                `pool: expected a pool of the tables, got "${name}"`,
            );
        }
        return pool;
    }
}

const ok = (body: unknown): JsonResponse => ({ status: 200, body });
