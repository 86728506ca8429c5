import type { IncomingMessage, ServerResponse } from "node:http";
import { ResultCode } from "@samphireward/core/result-code";
import { ResponseForwarder } from "./response-forwarder.js";
import type { AttemptOutcome } from "./attempt-outcome.js";
import { BodyReader } from "./body-reader.js";
import { CallerResponse } from "./caller-response.js";
import type { JobOptions } from "./job-options.js";
import { KeyClaim } from "./key-claim.js";
import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import { RetryPolicy } from "./retry-policy.js";
import type { RequestAttempt } from "./request-attempt.js";
import { RequestSender } from "./request-sender.js";
import type { TargetState } from "./target-state.js";
import { WaitingRequest } from "./waiting-request.js";

/** Dependencies of a request job, and the callback for its end. */
interface RequestJobOptions extends JobOptions {
    readonly onClosed: (job: RequestJob) => void;
}

/** Processes one request, from its headers to the end of its response. */
export class RequestJob extends WaitingRequest {
    readonly routeName: string;
    readonly customer: string;
    readonly deadlineAtMs: number;
    readonly receivedAtMs: number;
    private readonly callerResponse: CallerResponse;
    private readonly sender: RequestSender;
    private readonly forwarder: ResponseForwarder;
    private readonly retryPolicy: RetryPolicy;
    private readonly claim: KeyClaim | undefined;
    private body: Buffer | undefined;
    private reader: BodyReader | undefined;
    private isQueued = false;
    /** The response is complete or the request has failed. */
    private isFinished = false;
    private finishedAtMs = Infinity;

    private constructor(
        private readonly options: RequestJobOptions,
        private readonly req: IncomingMessage,
        res: ServerResponse,
    ) {
        super();
        const { head, context } = options;
        const { route, customer, idempotencyKey, timeoutMs } = head;
        this.routeName = route.name;
        this.customer = customer;
        this.receivedAtMs = context.clock.nowMs();
        this.deadlineAtMs = this.receivedAtMs + timeoutMs;
        if (idempotencyKey !== undefined && !route.idempotent) {
            const key = `${route.name}\n${customer}\n${idempotencyKey}`;
            this.claim = KeyClaim.create(context.claimer, key);
        }
        this.callerResponse = CallerResponse.create(res);
        this.sender = RequestSender.create(options, req, this.deadlineAtMs, {
            onComplete: (attempt, response, body) => this.forwarder.forwardComplete(attempt, response, body),
            onHeaders: (attempt, response) => this.forwarder.forwardStream(attempt, response),
            onFailed: outcome => this.retryOrFail(outcome),
            onSilent: () => this.sendHedge(),
        });
        this.retryPolicy = RetryPolicy.create(options, this.callerResponse, this.sender, this.deadlineAtMs);
        this.forwarder = ResponseForwarder.create(context, this.callerResponse, this.sender, {
            isFinished: () => this.isFinished,
            onForwarded: (attempt, response) => this.succeed(attempt, response),
        });
        res.on("close", () => this.close());
    }

    static start(options: RequestJobOptions, req: IncomingMessage, res: ServerResponse): RequestJob {
        const job = new RequestJob(options, req, res);
        options.dispatcher.retryBudget.countRequest();
        if (options.head.hasBody) {
            job.readBody();
        } else {
            job.enqueue();
        }
        return job;
    }

    /** Whether the request arrived on this connection, has been read completely, and awaits its response. */
    isAwaitingResponse(socket: unknown): boolean {
        return this.req.socket === socket && this.reader?.isReading !== true;
    }

    /** Enforces the deadline and checks for silent connections. Called at each tick of the request handler. */
    tick(nowMs: number): void {
        if (this.isFinished) {
            if (nowMs - this.finishedAtMs > this.context.settings.callerFlushMs) {
                this.callerResponse.abort(ResultCode.CallerGone);
            }
        } else if (nowMs >= this.deadlineAtMs) {
            this.failOnDeadline();
        } else {
            this.sender.probeSilentAttempts(nowMs);
        }
    }

    override dispatch(target: TargetState): void {
        this.isQueued = false;
        if (this.isFinished) {
            this.dispatcher.releaseSlot(target);
        } else if (this.claim === undefined || this.claim.isGranted) {
            this.sender.start(target, this.body);
        } else {
            this.claimAndSend(this.claim, target).catch((err: unknown) =>
                this.fail(this.reportUnexpectedError(err)),
            );
        }
    }

    override expire(): void {
        this.isQueued = false;
        this.fail(this.sender.mayHaveRun ? ResultCode.DeadlinePassed : ResultCode.DeadlinePassedInQueue);
    }

    override rejectQueueFull(): void {
        this.isQueued = false;
        this.fail(this.sender.mayHaveRun ? ResultCode.ConnectionLost : ResultCode.QueueFull);
    }

    override rejectLinkLimited(): void {
        this.isQueued = false;
        this.fail(this.sender.mayHaveRun ? ResultCode.ConnectionLost : ResultCode.LinkBudgetExceeded);
    }

    private get context(): RequestContext {
        return this.options.context;
    }

    private get dispatcher(): PoolDispatcher {
        return this.options.dispatcher;
    }

    private readBody(): void {
        const { route } = this.options.head;
        this.reader = BodyReader.start(this.req, route.maxBodyBytes, this.context.bodyBudget, {
            onBody: body => {
                this.body = body;
                this.enqueue();
            },
            onTooLarge: () => this.fail(ResultCode.RequestTooLarge),
            onBudgetExceeded: () => this.fail(ResultCode.QueueFull),
        });
    }

    private enqueue(): void {
        if (this.isFinished) {
            return;
        }
        if (this.context.clock.nowMs() >= this.deadlineAtMs) {
            this.expire();
            return;
        }
        this.isQueued = true;
        this.dispatcher.enqueue(this, this.options.head.route.maxQueue);
    }

    private async claimAndSend(claim: KeyClaim, target: TargetState): Promise<void> {
        const refusalCode = await claim.request().catch((err: unknown) => this.reportUnexpectedError(err));
        if (this.isFinished) {
            claim.release();
        } else if (refusalCode === undefined) {
            this.sender.start(target, this.body);
            return;
        } else {
            this.fail(refusalCode);
        }
        this.dispatcher.releaseSlot(target);
    }

    private reportUnexpectedError(err: unknown): ResultCode {
        this.context.onUnexpectedError(err, this.req);
        return ResultCode.InternalError;
    }

    private succeed(attempt: RequestAttempt, response: IncomingMessage): void {
        this.isFinished = true;
        this.finishedAtMs = this.context.clock.nowMs();
        this.reader?.release();
        this.sender.complete(attempt, response);
    }

    private retryOrFail(outcome: AttemptOutcome): void {
        const delayMs = this.retryPolicy.nextDelayMs(outcome);
        if (delayMs.isErr()) {
            this.fail(delayMs.error);
        } else {
            setTimeout(() => this.enqueue(), delayMs.value);
        }
    }

    private sendHedge(): void {
        const target = this.retryPolicy.tryTakeHedgeSlot();
        if (target !== undefined) {
            this.sender.start(target, this.body);
        }
    }

    private failOnDeadline(): void {
        if (this.sender.mayHaveRun) {
            this.fail(ResultCode.DeadlinePassed);
        } else {
            const isUnreachable = this.isQueued && !this.dispatcher.hasTargets;
            this.fail(isUnreachable ? ResultCode.NoTargetReachable : ResultCode.DeadlinePassedInQueue);
        }
    }

    /** Ends the request without a complete response from a target. */
    private fail(code: ResultCode): void {
        if (this.isFinished) {
            return;
        }
        this.stop(code === ResultCode.DeadlinePassed);
        if (this.callerResponse.isStarted) {
            this.callerResponse.abort(code);
        } else {
            this.callerResponse.sendCode(code, this.context.isDraining());
        }
    }

    /** Releases all resources except the slots of attempts that a target may still be running. */
    private stop(isLate: boolean): void {
        this.isFinished = true;
        this.finishedAtMs = this.context.clock.nowMs();
        if (this.isQueued) {
            this.dispatcher.remove(this);
        }
        this.sender.stop(isLate);
        this.reader?.release();
        if (!this.sender.mayHaveRun) {
            this.claim?.release();
        }
    }

    /** The response has been handed to the operating system, or the caller's connection has closed. */
    private close(): void {
        if (!this.isFinished) {
            this.stop(false);
        }
        const { context } = this.options;
        const { route, customer } = this.options.head;
        const { res, status, code, isEnded } = this.callerResponse;
        const isGone = code === ResultCode.Answered && !(isEnded && res.writableFinished);
        context.onOutcome({
            route: route.name,
            pool: route.pool,
            customer,
            code: isGone ? ResultCode.CallerGone : code,
            status,
            latencyMs: context.clock.nowMs() - this.receivedAtMs,
            attemptCount: this.sender.attemptCount,
        });
        this.options.onClosed(this);
    }
}
