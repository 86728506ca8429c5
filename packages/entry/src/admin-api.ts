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
import { TaskExplainer } from "./task-explainer.js";
import { taskStatusJson } from "./task-status-json.js";

const CellCallTimeoutMs = 2_000;
const TaskOperationDeadlineMs = 5_000;

const PutConfigBody = Schema.Struct({
    expectedRevision: Schema.Int,
    changeId: Schema.String,
    author: Schema.String,
    routes: Schema.String,
    pools: Schema.String,
});
const CancelTasksBody = Schema.Struct({ pool: Schema.String, keys: Schema.Array(Schema.String) });
const WorkerCommandBody = Schema.Struct({ cell: Schema.String });

/** Components that the administration API reads and changes. */
interface AdminDependencies {
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

const codedResponse = (code: ResultCode, body: Record<string, unknown>): JsonResponse => ({
    status: describeCode(code).httpStatus,
    body: { code, ...body },
});

/** HTTP API of the administration port of an entry process (docs/admin-api.md). */
export class AdminApi {
    private constructor(private readonly dependencies: AdminDependencies) {}

    /** Registers the endpoints on a server. */
    static mount(server: JsonServer, dependencies: AdminDependencies): void {
        const api = new AdminApi(dependencies);
        const { runtime, connectors } = dependencies;
        const explainer = TaskExplainer.create({
            tables: () => runtime.config.applied?.tables,
            streamTo: cell => connectors.streamTo(cell),
        });
        server
            .on("GET", "/v1/health", () => api.health())
            .on("GET", "/v1/config", () => api.readConfig())
            .on("PUT", "/v1/config", req => api.putConfig(req))
            .on("GET", "/v1/config/history", () =>
                okResponse({ changes: dependencies.runtime.config.history }),
            )
            .on("GET", "/v1/members", () => api.members())
            .on("GET", "/v1/cells", async () => okResponse({ cells: await api.cells() }))
            .on("GET", "/v1/tasks/:key", req => api.readTask(req))
            .on("POST", "/v1/tasks/explain", req => explainer.answer(req.body))
            .on("POST", "/v1/tasks/cancel", req => api.cancelTasks(req))
            .on("POST", "/v1/workers/:name/:command", req => api.sendWorkerCommand(req))
            .on("GET", "/v1/metrics", () => api.metrics());
    }

    private health(): JsonResponse {
        const { state, ready } = this.dependencies.health();
        return {
            status: ready ? 200 : 503,
            body: { state, revision: this.dependencies.runtime.config.revision },
        };
    }

    private readConfig(): JsonResponse {
        const document = this.dependencies.runtime.config.applied?.document;
        return okResponse(
            document ?? { revision: 0, changeId: "", author: "", timeMs: 0, routes: "", pools: "" },
        );
    }

    private async putConfig({ body }: JsonRequest): Promise<JsonResponse> {
        const { expectedRevision, ...change } = decodeBody(PutConfigBody, body);
        const result = await this.dependencies.runtime.config.propose(expectedRevision, change);
        if (result.isOk()) {
            return codedResponse(ResultCode.TablesApplied, { revision: result.value.revision });
        }
        const { code, message, problems, current } = result.error;
        return codedResponse(code, { message, ...(problems && { problems }), ...(current && { current }) });
    }

    private members(): JsonResponse {
        const members = this.dependencies.runtime.membership.members.map(member => ({
            name: member.name,
            role: member.role,
            region: member.region,
            dataCentre: member.dataCentre,
            address: member.address,
            revision: member.configRevision,
            state: member.state,
        }));
        return okResponse({ members });
    }

    /** Summaries of the cells whose owner answers within `CellCallTimeoutMs`; other cells are left out. */
    private async cells(): Promise<CellSummary[]> {
        const { connectors } = this.dependencies;
        const answers = await Promise.allSettled(
            connectors.cells.map(async cell => {
                const stream = connectors.streamTo(cell);
                const reply = await stream?.callCell(
                    requestId => ({ case: "cellLookup", value: { requestId } }),
                    CellCallTimeoutMs,
                );
                return decodeBody(CellSummary, JSON.parse(reply?.json ?? "{}"));
            }),
        );
        return answers.filter(answer => answer.status === "fulfilled").map(answer => answer.value);
    }

    private async readTask({ params, query }: JsonRequest): Promise<JsonResponse> {
        const pool = this.findPool(query.get("pool") ?? "");
        const reply = await this.dependencies.gateway.lookup(
            pool,
            params["key"] ?? "",
            TaskOperationDeadlineMs,
        );
        return codedResponse(reply.code as ResultCode, taskStatusJson(reply));
    }

    private async cancelTasks({ body }: JsonRequest): Promise<JsonResponse> {
        const { pool: name, keys } = decodeBody(CancelTasksBody, body);
        const pool = this.findPool(name);
        const results = await Promise.all(
            keys.map(async key => {
                try {
                    const { code } = await this.dependencies.gateway.cancel(
                        pool,
                        key,
                        TaskOperationDeadlineMs,
                    );
                    return { key, code };
                } catch (err) {
                    return { key, code: (err as CodedError).code };
                }
            }),
        );
        return okResponse({ results });
    }

    private async sendWorkerCommand({ params, body }: JsonRequest): Promise<JsonResponse> {
        const { cell } = decodeBody(WorkerCommandBody, body);
        const stream = this.dependencies.connectors.streamTo(cell);
        if (stream === undefined) {
            throw CodedError.create(ResultCode.NoCellOwner, `No owner of cell ${cell} is connected`);
        }
        const { name = "", command = "" } = params;
        const reply = await stream.callCell(
            requestId => ({ case: "workerCommand", value: { requestId, worker: name, command } }),
            CellCallTimeoutMs,
        );
        return codedResponse(reply.code as ResultCode, {});
    }

    private async metrics(): Promise<JsonResponse> {
        const { runtime, metrics, counters } = this.dependencies;
        return okResponse({
            process: runtime.membership.self.name,
            dataCentre: runtime.membership.self.dataCentre,
            wallMs: runtime.clock.wallMs(),
            counters: counters(),
            routes: metrics.snapshot(),
            pools: mergePoolMetrics(await this.cells()),
        });
    }

    private findPool(name: string): Pool {
        const pool = this.dependencies.runtime.config.applied?.tables.pools.get(name);
        if (pool === undefined) {
            throw CodedError.create(
                ResultCode.BadRequest,
                `pool: expected a pool of the tables, got "${name}"`,
            );
        }
        return pool;
    }
}

const okResponse = (body: unknown): JsonResponse => ({ status: 200, body });
