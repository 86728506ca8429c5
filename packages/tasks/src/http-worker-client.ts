import type { Agent } from "node:http";
import { request } from "node:http";
import { CodedError } from "@samphireward/core/coded-error";
import { readResponse } from "@samphireward/core/read-response";
import { Resources } from "@samphireward/core/resources";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { StartCommand } from "./start-command.js";
import type { AttemptRef } from "./attempt-ref.js";
import { WorkerClient } from "./worker-client.js";
import type { WorkerOutcome } from "./worker-outcome.js";
import type { WorkerTasks } from "./worker-tasks.js";
import type { WorkerUsage } from "./worker-usage.js";

/** Address of the worker, and the owner under whose epoch the calls are made. */
interface Options {
    readonly host: string;
    readonly port: number;
    readonly cell: string;
    readonly epoch: number;
    /** Time after which a call without a complete answer fails and its connection is closed. */
    readonly timeoutMs: number;
    /** Keeps connections alive; shared by all clients of a process. */
    readonly agent: Agent;
}

type Answer<T> = Promise<Result<T, CodedError>>;

const knownCodes: ReadonlySet<unknown> = new Set(Object.values(ResultCode));

/** A listing of a worker with thousands of runs has a few hundred KB. */
const MaxResponseBytes = 16 * 1024 * 1024;

const parse = (status: number, text: string): Result<unknown, CodedError> => {
    let body: { code?: unknown };
    try {
        body = JSON.parse(text) as { code?: unknown };
    } catch {
        return Err(CodedError.create(ResultCode.AnswerMalformed, "The worker's answer is not JSON"));
    }
    if (status === 200) {
        return Ok(body);
    }
    const code = knownCodes.has(body.code) ? (body.code as ResultCode) : ResultCode.AnswerMalformed;
    return Err(CodedError.create(code, `The worker answered ${status}`));
};

/** Client of a worker's task port over HTTP (docs/PLATFORM.md, section Worker). */
export class HttpWorkerClient extends WorkerClient {
    private constructor(private readonly options: Options) {
        super();
    }

    static create(options: Options): HttpWorkerClient {
        return new HttpWorkerClient(options);
    }

    override async start(command: StartCommand): Answer<void> {
        const { processors, memoryMb, accelerators } = command.resources;
        const answer = await this.post("/v1/tasks/start", {
            ...command,
            resources: { processors, memoryMb, accelerators },
        });
        return answer.map(() => undefined);
    }

    override async renew(tasks: readonly AttemptRef[], leaseMs: number): Answer<readonly AttemptRef[]> {
        const answer = await this.post("/v1/tasks/renew", { leaseMs, tasks });
        return answer.map(body => (body as { unknown: AttemptRef[] }).unknown);
    }

    override async stop(task: AttemptRef): Answer<void> {
        const answer = await this.post("/v1/tasks/stop", task);
        return answer.map(() => undefined);
    }

    override async checkpoint(task: AttemptRef): Answer<string> {
        const answer = await this.post("/v1/tasks/checkpoint", task);
        return answer.map(body => (body as { checkpoint: string }).checkpoint);
    }

    override async throttle(task: AttemptRef, share: number): Answer<void> {
        const answer = await this.post("/v1/tasks/throttle", { ...task, share });
        return answer.map(() => undefined);
    }

    override async announceEpoch(): Answer<void> {
        const answer = await this.post("/v1/epoch", {});
        return answer.map(() => undefined);
    }

    override async tasks(): Answer<WorkerTasks> {
        const answer = await this.call("GET", "/v1/tasks", undefined);
        return answer.map(body => {
            const { epoch, tasks, outcomes } = body as WorkerTasks;
            const withResources = tasks.map(task => ({
                ...task,
                resources: Resources.create(task.resources),
            }));
            return { epoch, tasks: withResources, outcomes };
        });
    }

    override async usage(): Answer<WorkerUsage> {
        const answer = await this.call("GET", "/v1/usage", undefined);
        return answer.map(body => body as WorkerUsage);
    }

    override async outcomes(): Answer<readonly WorkerOutcome[]> {
        const answer = await this.call("GET", "/v1/outcomes", undefined);
        return answer.map(body => (body as { outcomes: WorkerOutcome[] }).outcomes);
    }

    override async acknowledge(outcomes: readonly AttemptRef[]): Answer<void> {
        const answer = await this.post("/v1/outcomes/ack", { outcomes });
        return answer.map(() => undefined);
    }

    private post(path: string, body: object): Answer<unknown> {
        const { cell, epoch } = this.options;
        return this.call("POST", path, JSON.stringify({ cell, epoch, ...body }));
    }

    /** Makes a call. The error is `NoTargetReachable` if the connection was never established: nothing was sent. */
    private call(method: string, path: string, body: string | undefined): Answer<unknown> {
        const { host, port, timeoutMs, agent } = this.options;
        const headers = { "content-type": "application/json" };
        return new Promise(resolve => {
            let isConnected = false;
            const fail = (code: ResultCode, message: string): void => {
                clearTimeout(timer);
                resolve(Err(CodedError.create(isConnected ? code : ResultCode.NoTargetReachable, message)));
            };
            const req = request({ host, port, method, path, headers, agent }, res => {
                readResponse(res, MaxResponseBytes).then(
                    text => {
                        clearTimeout(timer);
                        resolve(parse(res.statusCode ?? 0, text));
                    },
                    (err: Error) => fail(ResultCode.ConnectionLost, err.message),
                );
            });
            const timer = setTimeout(() => {
                fail(ResultCode.DeadlinePassed, `No answer to ${path} within ${timeoutMs} ms`);
                req.destroy();
            }, timeoutMs);
            req.on("socket", socket => {
                isConnected = !socket.connecting;
                if (!isConnected) {
                    socket.once("connect", () => (isConnected = true));
                }
            });
            req.on("error", err => fail(ResultCode.ConnectionLost, err.message));
            req.end(body);
        });
    }
}
