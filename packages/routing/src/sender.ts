import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { AnswerState } from "./answer-state.js";
import { Attempt } from "./attempt.js";
import { HeaderName } from "./header-name.js";
import type { JobOptions } from "./job-options.js";
import type { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import type { Send } from "./send.js";
import { targetHeaders } from "./target-headers.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";
import { watchSilence } from "./watch-silence.js";

/** Longest time for which the slot of an abandoned request stays taken. */
const LongestHoldMs = 1_000;

interface SenderEvents {
    readonly onWhole: (send: Send, answer: IncomingMessage, body: Buffer | undefined) => void;
    readonly onHeaders: (send: Send, answer: IncomingMessage) => void;
    /** No send is in progress any more. */
    readonly onFailed: (state: AnswerState) => void;
    /** The connection of the only send may be lost. */
    readonly onSilent: () => void;
}

/** Sends one request to targets and keeps account of the slots and of what may have run. */
export class Sender {
    private readonly active = new Set<Send>();
    private requestId: string | undefined;
    private isStopped = false;
    /** How often the request was sent. */
    count = 0;
    /** Whether a send ended without an answer and without a proof that nothing ran. */
    hasLostOne = false;

    private constructor(
        private readonly options: JobOptions,
        private readonly req: IncomingMessage,
        private readonly deadlineAtMs: number,
        private readonly events: SenderEvents,
    ) {}

    static create(
        options: JobOptions,
        req: IncomingMessage,
        deadlineAtMs: number,
        events: SenderEvents,
    ): Sender {
        return new Sender(options, req, deadlineAtMs, events);
    }

    get activeCount(): number {
        return this.active.size;
    }

    isActive(send: Send): boolean {
        return this.active.has(send);
    }

    /** Whether a target may have run the request or may be running it. */
    get mayHaveRun(): boolean {
        return this.hasLostOne || this.active.size > 0;
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
                this.reportFailure(AnswerState.NotConnected);
            } else if (this.isStopped) {
                target.connections.putBack(connection);
                this.dispatcher.releaseSlot(target);
            } else {
                this.send(target, connection, body);
            }
        });
    }

    watchSilence(nowMs: number): void {
        for (const send of this.active) {
            watchSilence(send, this.context, nowMs, () => {
                const isOnly = this.active.size === 1 && this.active.has(send);
                if (isOnly && !this.isStopped) {
                    this.events.onSilent();
                }
            });
        }
    }

    /** Ends all sends but one. */
    abandonOthers(winner: Send): void {
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
            this.hasLostOne = true;
            this.abandon(send);
        }
    }

    /** The answer of `send` has been passed on whole: only now its slot is released. */
    complete(send: Send, answer: IncomingMessage): void {
        this.isStopped = true;
        this.active.delete(send);
        send.attempt?.complete();
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
    rejectAnswer(send: Send): void {
        send.attempt?.abort();
        this.lose(send, AnswerState.Malformed);
    }

    private get context(): RequestContext {
        return this.options.context;
    }

    private get dispatcher(): PoolDispatcher {
        return this.options.dispatcher;
    }

    private send(target: TargetState, connection: TargetConnection, body: Buffer | undefined): void {
        const { clock, settings, linkTo, shares } = this.context;
        const sentAtMs = clock.nowMs();
        const requestId = this.idOfRequest();
        const headers = targetHeaders(this.req, body, this.deadlineAtMs - sentAtMs, requestId);
        const link = linkTo(target);
        link?.out.take(headers.reduce((sum, text) => sum + text.length + 2, body?.length ?? 0));
        const send: Send = { target, connection, sentAtMs, isProbed: false };
        this.count += 1;
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
        send.attempt = Attempt.send(connection, request, {
            onWhole: (answer, whole) => this.events.onWhole(send, answer, whole),
            onHeaders: answer => this.events.onHeaders(send, answer),
            onFailed: state => this.lose(send, state),
            onLeaving: () => shares.noteLeaving(target.share.worker),
            onBytes: count => void link?.in.take(count),
        });
    }

    /** The caller's own id or a random one; the same for all sends. Refused requests need none. */
    private idOfRequest(): string {
        const ownId = this.req.headers[HeaderName.RequestId];
        this.requestId ??= typeof ownId === "string" ? ownId : randomUUID();
        return this.requestId;
    }

    /** A send failed by itself. */
    private lose(send: Send, state: AnswerState): void {
        this.active.delete(send);
        this.hasLostOne ||= state !== AnswerState.RefusedNotRun;
        this.dispatcher.countFailure(send.target, false);
        this.reportFailure(state);
        this.dispatcher.releaseSlot(send.target);
    }

    private reportFailure(state: AnswerState): void {
        if (this.active.size === 0 && !this.isStopped) {
            this.events.onFailed(state);
        }
    }

    /** Closes the connection. The target may still be running the request, so its slot stays taken a while. */
    private abandon(send: Send): void {
        this.active.delete(send);
        send.attempt?.abort();
        const { route } = this.options.head;
        const holdMs = Math.min(LongestHoldMs, this.dispatcher.serviceTimes.expectedMs(route.name));
        setTimeout(() => this.dispatcher.releaseSlot(send.target), holdMs).unref();
    }
}
