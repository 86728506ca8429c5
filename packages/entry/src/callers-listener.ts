import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@samphireward/core/clock";
import { describeCode } from "@samphireward/core/describe-code";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Tables } from "@samphireward/core/tables";
import { findRoute } from "@samphireward/routing/find-route";
import type { RequestHandler } from "@samphireward/routing/request-handler";
import { sendWithCode } from "./send-with-code.js";
import type { TaskApi } from "./task-api.js";

interface CallersListenerOptions {
    readonly clock: Clock;
    readonly tables: () => Tables;
    readonly requests: Pick<RequestHandler, "handleRoute">;
    readonly tasks: Pick<TaskApi, "handle">;
    readonly onTaskAnswered: (route: Route, code: ResultCode, latencyMs: number) => void;
    /** Called with an error that no handler expected. Its request is answered with `InternalError`. */
    readonly onUnexpectedError: (err: unknown, req: IncomingMessage) => void;
}

/**
 * Passes each caller's request to the handler of its route's kind. An error that a handler did not expect ends only its
 * own request.
 */
export class CallersListener {
    private taskRequestCount = 0;

    private constructor(private readonly options: CallersListenerOptions) {}

    static create(options: CallersListenerOptions): CallersListener {
        return new CallersListener(options);
    }

    /** Number of requests of task routes that are not answered yet. */
    get taskRequestsInProgress(): number {
        return this.taskRequestCount;
    }

    /** Handles one request. Never throws. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        try {
            const tables = this.options.tables();
            const found = findRoute(req, tables);
            if (found.isErr() || found.value.kind !== "task") {
                this.options.requests.handleRoute(req, res, found);
                return;
            }
            this.handleTask(req, res, found.value, tables).catch((err: unknown) =>
                this.answerUnexpectedError(err, req, res),
            );
        } catch (err) {
            this.answerUnexpectedError(err, req, res);
        }
    }

    private async handleTask(
        req: IncomingMessage,
        res: ServerResponse,
        route: Route,
        tables: Tables,
    ): Promise<void> {
        const { clock, tasks, onTaskAnswered } = this.options;
        const startMs = clock.nowMs();
        this.taskRequestCount += 1;
        try {
            const code = await tasks
                .handle(req, res, route, tables)
                .catch((err: unknown) => this.answerUnexpectedError(err, req, res));
            onTaskAnswered(route, code, clock.nowMs() - startMs);
        } finally {
            this.taskRequestCount -= 1;
        }
    }

    private answerUnexpectedError(err: unknown, req: IncomingMessage, res: ServerResponse): ResultCode {
        this.options.onUnexpectedError(err, req);
        const code = ResultCode.InternalError;
        if (!res.headersSent) {
            return sendWithCode(res, code, { code, message: describeCode(code).meaning });
        }
        if (!res.writableEnded) {
            res.destroy();
        }
        return code;
    }
}
