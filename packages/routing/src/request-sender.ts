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

/** Maximum time for which the slot of an abandoned attempt stays taken. */
const MaxSlotHoldMs = 1_000;

interface RequestSenderEvents {
    readonly onComplete: (
        attempt: RequestAttempt,
        response: IncomingMessage,
        body: Buffer | undefined,
    ) => void;
    readonly onHeaders: (attempt: RequestAttempt, response: IncomingMessage) => void;
    /** An attempt has failed and no other one is in progress. */
    readonly onFailed: (outcome: AttemptOutcome) => void;
    /** The connection of the only active attempt may be lost. */
    readonly onSilent: () => void;
}

/** Sends one request to targets and tracks its slots and whether it may have run. */
export class RequestSender {
    private readonly active = new Set<RequestAttempt>();
    private requestId: string | undefined;
    private isStopped = false;
    /** Number of times the request was sent. */
    attemptCount = 0;
    /** Whether an attempt ended without a response and without a guarantee that the request did not run. */
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

    isActive(attempt: RequestAttempt): boolean {
        return this.active.has(attempt);
    }

    /** Whether a target may have run the request or may be running it. */
    get mayHaveRun(): boolean {
        return this.hasUnknownResult || this.active.size > 0;
    }

    /**
     * Sends the request to a target whose slot has been taken. A non-idempotent request uses only a connection that
     * is new or has recently received bytes.
     */
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
        for (const attempt of this.active) {
            probeIfSilent(attempt, this.context, nowMs, () => {
                const isOnly = this.active.size === 1 && this.active.has(attempt);
                if (isOnly && !this.isStopped) {
                    this.events.onSilent();
                }
            });
        }
    }

    /** Abandons all attempts but one. */
    abandonOthers(winner: RequestAttempt): void {
        for (const attempt of this.active) {
            if (attempt !== winner) {
                this.abandon(attempt);
            }
        }
    }

    /** Abandons all attempts. If the deadline has passed, each counts as a failure of its target. */
    stop(isLate: boolean): void {
        this.isStopped = true;
        for (const attempt of this.active) {
            if (isLate) {
                this.dispatcher.countFailure(attempt.target, false);
            }
            this.hasUnknownResult = true;
            this.abandon(attempt);
        }
    }

    /** Called when the response of `attempt` has been forwarded completely: only now is its slot released. */
    complete(attempt: RequestAttempt, response: IncomingMessage): void {
        this.isStopped = true;
        this.active.delete(attempt);
        attempt.exchange?.complete();
        if ((response.statusCode ?? 500) >= 500) {
            this.dispatcher.countFailure(attempt.target, false);
        } else {
            attempt.target.countSuccess();
            const durationMs = this.context.clock.nowMs() - attempt.sentAtMs;
            this.dispatcher.serviceTimes.record(this.options.head.route.name, durationMs);
        }
        this.dispatcher.releaseSlot(attempt.target);
    }

    /** Called when the response of `attempt` cannot be forwarded. */
    rejectResponse(attempt: RequestAttempt): void {
        attempt.exchange?.abort();
        this.failAttempt(attempt, AttemptOutcome.Malformed);
    }

    private get context(): RequestContext {
        return this.options.context;
    }

    private get dispatcher(): PoolDispatcher {
        return this.options.dispatcher;
    }

    private send(target: TargetState, connection: TargetConnection, body: Buffer | undefined): void {
        const { clock, settings, linkLimitersFor, shares } = this.context;
        const sentAtMs = clock.nowMs();
        const requestId = this.getRequestId();
        const headers = targetHeaders(this.req, body, this.deadlineAtMs - sentAtMs, requestId);
        const link = linkLimitersFor(target);
        link?.out.consume(headers.reduce((sum, text) => sum + text.length + 2, body?.length ?? 0));
        const attempt: RequestAttempt = { target, connection, sentAtMs, isProbed: false };
        this.attemptCount += 1;
        this.active.add(attempt);
        const request = {
            method: this.req.method ?? "GET",
            path: this.req.url ?? "/",
            headers,
            body,
            requestId,
            maxHeaderBytes: settings.maxHeaderBytes,
            heldAnswerBytes: settings.heldAnswerBytes,
        };
        attempt.exchange = HttpExchange.send(connection, request, {
            onComplete: (response, responseBody) => this.events.onComplete(attempt, response, responseBody),
            onHeaders: response => this.events.onHeaders(attempt, response),
            onFailed: outcome => this.failAttempt(attempt, outcome),
            onLeaving: () => shares.markLeaving(target.share.worker),
            onBytes: count => void link?.in.consume(count),
        });
    }

    /**
     * The caller's request id or a random one; the same for all attempts. Created on first use, because rejected
     * requests need none.
     */
    private getRequestId(): string {
        const ownId = this.req.headers[HeaderName.RequestId];
        this.requestId ??= typeof ownId === "string" ? ownId : randomUUID();
        return this.requestId;
    }

    /** Called when an attempt failed without being abandoned. */
    private failAttempt(attempt: RequestAttempt, outcome: AttemptOutcome): void {
        this.active.delete(attempt);
        this.hasUnknownResult ||= outcome !== AttemptOutcome.RefusedNotRun;
        this.dispatcher.countFailure(attempt.target, false);
        this.reportFailure(outcome);
        this.dispatcher.releaseSlot(attempt.target);
    }

    private reportFailure(outcome: AttemptOutcome): void {
        if (this.active.size === 0 && !this.isStopped) {
            this.events.onFailed(outcome);
        }
    }

    /** Closes the connection. The target may still be running the request, so its slot is released after a delay. */
    private abandon(attempt: RequestAttempt): void {
        this.active.delete(attempt);
        attempt.exchange?.abort();
        const { route } = this.options.head;
        const holdMs = Math.min(MaxSlotHoldMs, this.dispatcher.serviceTimes.expectedMs(route.name));
        setTimeout(() => this.dispatcher.releaseSlot(attempt.target), holdMs).unref();
    }
}
