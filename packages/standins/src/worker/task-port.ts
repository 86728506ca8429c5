import { describeCode } from "@samphireward/core/describe-code";
import type { JsonResponse } from "@samphireward/core/json-response";
import { JsonServer } from "@samphireward/core/json-server";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { ServicePort } from "./service-port.js";
import { TaskPayload } from "./task-payload.js";
import { TaskRequests } from "./task-requests.js";
import type { UsageHistory } from "./usage-history.js";
import type { WorkerModel } from "./worker-model.js";

type CallResult = Result<object, ResultCode>;

const decodePayload = Schema.decodeUnknownSync(Schema.fromJsonString(TaskPayload));

/** Returns `BadRequest` if the body does not match its schema. */
const catchBadRequest = (run: () => CallResult): CallResult => {
    try {
        return run();
    } catch {
        return Err(ResultCode.BadRequest);
    }
};

const toJsonResponse = (result: CallResult): JsonResponse =>
    result.isOk()
        ? { status: 200, body: result.value }
        : { status: describeCode(result.error).httpStatus, body: { code: result.error } };

/** HTTP task port of a stand-in worker (docs/PLATFORM.md, section Worker). */
export class TaskPort {
    readonly server = JsonServer.create();

    private constructor(
        private readonly model: WorkerModel,
        private readonly usageHistory: UsageHistory,
        private readonly servicePort: ServicePort,
    ) {
        this.registerCommands();
        this.registerQueries();
        for (const method of ["GET", "PUT", "POST", "DELETE"] as const) {
            this.server.on(method, "/*", () => toJsonResponse(Err(ResultCode.UnknownRoute)));
        }
    }

    static create(model: WorkerModel, usage: UsageHistory, service: ServicePort): TaskPort {
        return new TaskPort(model, usage, service);
    }

    private registerCommands(): void {
        const { model } = this;
        this.onPost("/v1/tasks/start", TaskRequests.start, req => this.start(req));
        this.onPost("/v1/tasks/renew", TaskRequests.renew, req =>
            model.renew(req.cell, req.epoch, req.leaseMs, req.tasks).map(unknown => ({ unknown })),
        );
        this.onPost("/v1/tasks/stop", TaskRequests.task, req =>
            model.stop(req.cell, req.epoch, req).map(() => ({ stopped: true })),
        );
        this.onPost("/v1/tasks/checkpoint", TaskRequests.task, req =>
            model.checkpoint(req.cell, req.epoch, req).map(checkpoint => ({ checkpoint })),
        );
        this.onPost("/v1/tasks/throttle", TaskRequests.throttle, req =>
            model.throttle(req.cell, req.epoch, req, req.share).map(() => ({})),
        );
        this.onPost("/v1/epoch", TaskRequests.epoch, req =>
            model.announceEpoch(req.cell, req.epoch).map(() => ({})),
        );
        this.onPost("/v1/outcomes/ack", TaskRequests.acknowledge, req =>
            model.acknowledge(req.cell, req.epoch, req.outcomes).map(() => ({})),
        );
        this.onPost("/v1/fault", TaskRequests.fault, fault => this.setFault(fault));
    }

    private registerQueries(): void {
        const { model } = this;
        this.onGet("/v1/tasks", () => this.inventory());
        this.onGet("/v1/outcomes", () => ({ outcomes: model.outcomes() }));
        this.onGet("/v1/usage", () => this.usageHistory.report());
        this.onGet("/v1/stats", () => model.stats);
    }

    private onPost<S extends Schema.ConstraintDecoder<unknown>>(
        path: string,
        schema: S,
        run: (body: S["Type"]) => CallResult,
    ): void {
        const decode = Schema.decodeUnknownSync(schema);
        this.server.on("POST", path, ({ body }) =>
            toJsonResponse(catchBadRequest(() => run(decode(body ?? {})))),
        );
    }

    private onGet(path: string, read: () => object): void {
        this.server.on("GET", path, () => ({ status: 200, body: read() }));
    }

    private start(req: (typeof TaskRequests.start)["Type"]): CallResult {
        const payload = decodePayload(req.payload);
        const resources = Resources.create(req.resources);
        return this.model.start({ ...req, resources, payload }).map(() => ({ started: true }));
    }

    private inventory(): object {
        const nowMs = performance.now();
        const tasks = this.model.tasks().map(({ key, attempt, resources, startedAtMs }) => {
            const { processors, memoryMb, accelerators } = resources;
            const startedMsAgo = Math.max(0, nowMs - startedAtMs);
            return { key, attempt, resources: { processors, memoryMb, accelerators }, startedMsAgo };
        });
        return { epoch: this.model.epoch, tasks, outcomes: this.model.outcomes() };
    }

    private setFault(fault: (typeof TaskRequests.fault)["Type"]): CallResult {
        this.model.failTasks = fault.failTasks ?? this.model.failTasks;
        this.servicePort.failRequests = fault.failRequests ?? this.servicePort.failRequests;
        this.servicePort.isLeaving = fault.leaving ?? this.servicePort.isLeaving;
        if (fault.silenceOpenConnections === true) {
            this.servicePort.silenceOpenConnections();
        }
        return Ok({});
    }
}
