import type { IncomingMessage } from "node:http";
import type { CallerResponse } from "./caller-response.js";
import type { RequestContext } from "./request-context.js";
import type { RequestAttempt } from "./request-attempt.js";
import type { RequestSender } from "./request-sender.js";
import { streamResponse } from "./stream-response.js";

interface ForwarderEvents {
    /** Whether the request has already completed or failed. */
    readonly isFinished: () => boolean;
    /** The complete response has been forwarded. */
    readonly onForwarded: (attempt: RequestAttempt, response: IncomingMessage) => void;
}

/** Forwards the response of one attempt to the caller and cancels the request's other attempts. */
export class ResponseForwarder {
    private constructor(
        private readonly context: RequestContext,
        private readonly callerResponse: CallerResponse,
        private readonly sender: RequestSender,
        private readonly events: ForwarderEvents,
    ) {}

    static create(
        context: RequestContext,
        callerResponse: CallerResponse,
        sender: RequestSender,
        events: ForwarderEvents,
    ): ResponseForwarder {
        return new ResponseForwarder(context, callerResponse, sender, events);
    }

    forwardComplete(attempt: RequestAttempt, response: IncomingMessage, body: Buffer | undefined): void {
        this.sender.abandonOthers(attempt);
        if (this.callerResponse.sendComplete(response, body, this.context.isDraining())) {
            this.events.onForwarded(attempt, response);
        } else {
            this.sender.rejectResponse(attempt);
        }
    }

    forwardStream(attempt: RequestAttempt, response: IncomingMessage): void {
        const link = this.context.linkLimitersFor(attempt.target);
        streamResponse(response, this.callerResponse.res, {
            onStart: () => this.startStream(attempt, response),
            onChunk: bytes => link?.in.consume(bytes) ?? 0,
            onEnd: () => {
                if (this.sender.isActive(attempt)) {
                    this.callerResponse.endStream();
                    this.events.onForwarded(attempt, response);
                }
            },
        });
    }

    /** Headers go out with the first body bytes; an attempt that fails before that can still be retried. */
    private startStream(attempt: RequestAttempt, response: IncomingMessage): boolean {
        if (this.events.isFinished() || !this.sender.isActive(attempt)) {
            return false;
        }
        this.sender.abandonOthers(attempt);
        if (this.callerResponse.startStream(response, this.context.isDraining())) {
            return true;
        }
        this.sender.rejectResponse(attempt);
        return false;
    }
}
