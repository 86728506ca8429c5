import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { AttemptOutcome } from "./attempt-outcome.js";
import { HttpExchange } from "./http-exchange.js";
import { HeaderName } from "./header-name.js";
import type { JobOptions } from "./job-options.js";
import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import type { RequestAttempt } from "./request-attempt.js";
import { targetHeaders } from "./target-headers.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";
import { probeIfSilent } from "./probe-if-silent.js";

/** Longest time for which the slot of an abandoned request stays taken. */
const MaxSlotHoldMs = 1_000;

interface RequestSenderEvents {
    readonly onComplete: (send: RequestAttempt, answer: IncomingMessage, body: Buffer | undefined) => void;
    readonly onHeaders: (send: RequestAttempt, answer: IncomingMessage) => void;
    /** No send is in progress any more. */
    readonly onFailed: (state: AttemptOutcome) => void;
    /** The connection of the only send may be lost. */
    readonly onSilent: () => void;
}

/** Sends one request to targets and keeps account of the slots and of what may have run. */
export class RequestSender {
    private readonly active = new Set<RequestAttempt>();
    private requestId: string | undefined;
    private isStopped = false;
    /** How often the request was sent. */
    attemptCount = 0;
    /** Whether a send ended without an answer and without a proof that nothing ran. */
    hasUnknownResult = false;

    private constructor(
        private readonly options: JobOptions,
        private readonly req: IncomingMessage,
        private readonly deadlineAtMs: number,
        private readonly events: RequestSenderEvents,
    ) {}

    static create(
        options: JobOptions,
        req: IncomingMessage,
        deadlineAtMs: number,
        events: RequestSenderEvents,
    ): RequestSender {
        return new RequestSender(options, req, deadlineAtMs, events);
    }

    get activeCount(): number {
        return this.active.size;
    }

    isActive(send: RequestAttempt): boolean {
        return this.active.has(send);
    }

    /** Whether a target may have run the request or may be running it. */
    get mayHaveRun(): boolean {
        return this.hasUnknownResult || this.active.size > 0;
    }

    /** Sends the request to a target whose slot is taken, on a connection that the route's kind allows. */
    start(target: TargetState, body: Buffer | undefined): void {
        const { clock, settings } = this.context;
        const { idempotent } = this.options.head.route;
        const validSinceMs = idempotent ? -Infinity : clock.nowMs() - settings.validatedMs;
        target.connections.acquire(validSinceMs, connection => {
            if (connection === undefined) {
                this.dispatcher.countFailure(target, true);
                this.dispatcher.releaseSlot(target);
                this.reportFailure(AttemptOutcome.NotConnected);
            } else if (this.isStopped) {
                target.connections.release(connection);
                this.dispatcher.releaseSlot(target);
            } else {
                this.send(target, connection, body);
            }
        });
    }

    probeSilentAttempts(nowMs: number): void {
        for (const send of this.active) {
            probeIfSilent(send, this.context, nowMs, () => {
                const isOnly = this.active.size === 1 && this.active.has(send);
                if (isOnly && !this.isStopped) {
                    this.events.onSilent();
                }
            });
        }
    }

    /** Ends all sends but one. */
    abandonOthers(winner: RequestAttempt): void {
        for (const send of this.active) {
            if (send !== winner) {
                this.abandon(send);
            }
        }
    }

    /** Ends all sends. The targets count as failed when they did not answer in time. */
    stop(isLate: boolean): void {
        this.isStopped = true;
        for (const send of this.active) {
            if (isLate) {
                this.dispatcher.countFailure(send.target, false);
            }
            this.hasUnknownResult = true;
            this.abandon(send);
        }
    }

    /** The answer of `send` has been passed on whole: only now its slot is released. */
    complete(send: RequestAttempt, answer: IncomingMessage): void {
        this.isStopped = true;
        this.active.delete(send);
        send.exchange?.complete();
        if ((answer.statusCode ?? 500) >= 500) {
            this.dispatcher.countFailure(send.target, false);
        } else {
            send.target.countSuccess();
            const durationMs = this.context.clock.nowMs() - send.sentAtMs;
            this.dispatcher.serviceTimes.record(this.options.head.route.name, durationMs);
        }
        this.dispatcher.releaseSlot(send.target);
    }

    /** The answer of `send` cannot be passed on. */
    rejectResponse(send: RequestAttempt): void {
        send.exchange?.abort();
        this.failAttempt(send, AttemptOutcome.Malformed);
    }

    private get context(): RequestContext {
        return this.options.context;
    }

    private get dispatcher(): PoolDispatcher {
        return this.options.dispatcher;
    }

    private send(target: TargetState, connection: TargetConnection, body: Buffer | undefined): void {
        const { clock, settings, linkLimitersFor: linkTo, shares } = this.context;
        const sentAtMs = clock.nowMs();
        const requestId = this.getRequestId();
        const headers = targetHeaders(this.req, body, this.deadlineAtMs - sentAtMs, requestId);
        const link = linkTo(target);
        link?.out.consume(headers.reduce((sum, text) => sum + text.length + 2, body?.length ?? 0));
        const send: RequestAttempt = { target, connection, sentAtMs, isProbed: false };
        this.attemptCount += 1;
        this.active.add(send);
        const request = {
            method: this.req.method ?? "GET",
            path: this.req.url ?? "/",
            headers,
            body,
            requestId,
            maxHeaderBytes: settings.maxHeaderBytes,
            heldAnswerBytes: settings.heldAnswerBytes,
        };
        send.exchange = HttpExchange.send(connection, request, {
            onComplete: (answer, whole) => this.events.onComplete(send, answer, whole),
            onHeaders: answer => this.events.onHeaders(send, answer),
            onFailed: state => this.failAttempt(send, state),
            onLeaving: () => shares.markLeaving(target.share.worker),
            onBytes: count => void link?.in.consume(count),
        });
    }

    /** The caller's own id or a random one; the same for all sends. Refused requests need none. */
    private getRequestId(): string {
        const ownId = this.req.headers[HeaderName.RequestId];
        this.requestId ??= typeof ownId === "string" ? ownId : randomUUID();
        return this.requestId;
    }

    /** A send failed by itself. */
    private failAttempt(send: RequestAttempt, state: AttemptOutcome): void {
        this.active.delete(send);
        this.hasUnknownResult ||= state !== AttemptOutcome.RefusedNotRun;
        this.dispatcher.countFailure(send.target, false);
        this.reportFailure(state);
        this.dispatcher.releaseSlot(send.target);
    }

    private reportFailure(state: AttemptOutcome): void {
        if (this.active.size === 0 && !this.isStopped) {
            this.events.onFailed(state);
        }
    }

    /** Closes the connection. The target may still be running the request, so its slot stays taken a while. */
    private abandon(send: RequestAttempt): void {
        this.active.delete(send);
        send.exchange?.abort();
        const { route } = this.options.head;
        const holdMs = Math.min(MaxSlotHoldMs, this.dispatcher.serviceTimes.expectedMs(route.name));
        setTimeout(() => this.dispatcher.releaseSlot(send.target), holdMs).unref();
    }
}
