import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { describeCode } from "@samphireward/core/describe-code";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { readJson } from "./read-json.js";
import { sendJson } from "./send-json.js";
import type { ServicePort } from "./service-port.js";
import { TaskPayload } from "./task-payload.js";
import { TaskRequests } from "./task-requests.js";
import type { UsageHistory } from "./usage-history.js";
import type { WorkerModel } from "./worker-model.js";

type Answer = Result<object, ResultCode>;
type Handler = (body: unknown) => Answer;

const decodePayload = Schema.decodeUnknownSync(Schema.fromJsonString(TaskPayload));

/** The HTTP task port of a stand-in worker (docs/PLATFORM.md, section Worker). */
export class TaskPort {
    readonly server: Server;
    private readonly handlers: ReadonlyMap<string, Handler>;

    private constructor(
        private readonly model: WorkerModel,
        private readonly usage: UsageHistory,
        private readonly service: ServicePort,
    ) {
        this.handlers = this.createHandlers();
        this.server = createServer((req, res) => void this.handle(req, res));
    }

    static create(model: WorkerModel, usage: UsageHistory, service: ServicePort): TaskPort {
        return new TaskPort(model, usage, service);
    }

    private createHandlers(): ReadonlyMap<string, Handler> {
        const { model } = this;
        const on = <S extends Schema.ConstraintDecoder<unknown>>(
            schema: S,
            run: (body: S["Type"]) => Answer,
        ): Handler => {
            const decode = Schema.decodeUnknownSync(schema);
            return body => run(decode(body));
        };
        return new Map<string, Handler>([
            ["POST /v1/tasks/start", on(TaskRequests.start, req => this.start(req))],
            [
                "POST /v1/tasks/renew",
                on(TaskRequests.renew, req =>
                    model.renew(req.cell, req.epoch, req.leaseMs, req.tasks).map(unknown => ({ unknown })),
                ),
            ],
            [
                "POST /v1/tasks/stop",
                on(TaskRequests.task, req =>
                    model.stop(req.cell, req.epoch, req).map(() => ({ stopped: true })),
                ),
            ],
            [
                "POST /v1/tasks/checkpoint",
                on(TaskRequests.task, req =>
                    model.checkpoint(req.cell, req.epoch, req).map(checkpoint => ({ checkpoint })),
                ),
            ],
            [
                "POST /v1/tasks/throttle",
                on(TaskRequests.throttle, req =>
                    model.throttle(req.cell, req.epoch, req, req.share).map(() => ({})),
                ),
            ],
            [
                "POST /v1/epoch",
                on(TaskRequests.epoch, req => model.announce(req.cell, req.epoch).map(() => ({}))),
            ],
            [
                "POST /v1/outcomes/ack",
                on(TaskRequests.acknowledge, req =>
                    model.acknowledge(req.cell, req.epoch, req.outcomes).map(() => ({})),
                ),
            ],
            ["POST /v1/fault", on(TaskRequests.fault, fault => this.setFault(fault))],
            ["GET /v1/tasks", () => Ok(this.inventory())],
            ["GET /v1/outcomes", () => Ok({ outcomes: model.outcomes() })],
            ["GET /v1/usage", () => Ok(this.usage.report())],
            ["GET /v1/stats", () => Ok(model.stats)],
        ]);
    }

    private start(req: (typeof TaskRequests.start)["Type"]): Answer {
        const payload = decodePayload(req.payload);
        const resources = Resources.create(req.resources);
        return this.model.start({ ...req, resources, payload }).map(() => ({ started: true }));
    }

    private inventory(): object {
        const nowMs = performance.now();
        const tasks = this.model.tasks().map(({ key, attempt, resources, startedMs }) => {
            const { processors, memoryMb, accelerators } = resources;
            const startedMsAgo = Math.max(0, nowMs - startedMs);
            return { key, attempt, resources: { processors, memoryMb, accelerators }, startedMsAgo };
        });
        return { epoch: this.model.epoch, tasks, outcomes: this.model.outcomes() };
    }

    private setFault(fault: (typeof TaskRequests.fault)["Type"]): Answer {
        this.model.failTasks = fault.failTasks ?? this.model.failTasks;
        this.service.failRequests = fault.failRequests ?? this.service.failRequests;
        this.service.leaving = fault.leaving ?? this.service.leaving;
        if (fault.silenceOpenConnections === true) {
            this.service.silenceOpenConnections();
        }
        return Ok({});
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const path = (req.url ?? "").split("?")[0];
        const handler = this.handlers.get(`${req.method} ${path}`);
        if (handler === undefined) {
            sendJson(res, 404, { code: ResultCode.UnknownRoute });
            return;
        }
        const answer = await this.answer(req, handler);
        if (answer.isOk()) {
            sendJson(res, 200, answer.value);
        } else {
            sendJson(res, describeCode(answer.error).httpStatus, { code: answer.error });
        }
    }

    /** A body that does not match its schema is answered as a bad request. */
    private async answer(req: IncomingMessage, handler: Handler): Promise<Answer> {
        try {
            return handler(await readJson(req));
        } catch {
            return Err(ResultCode.BadRequest);
        }
    }
}
