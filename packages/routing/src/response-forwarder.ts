import type { IncomingMessage } from "node:http";
import type { CallerResponse } from "./caller-response.js";
import type { RequestContext } from "./request-context.js";
import type { RequestAttempt } from "./request-attempt.js";
import type { RequestSender } from "./request-sender.js";
import { streamResponse } from "./stream-response.js";

interface ForwarderEvents {
    /** Whether the request has ended already. */
    readonly isFinished: () => boolean;
    /** The answer has been passed on whole. */
    readonly onForwarded: (send: RequestAttempt, answer: IncomingMessage) => void;
}

/** Passes the answer of one send on to the caller and ends the other sends of the request. */
export class ResponseForwarder {
    private constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerResponse,
        private readonly sender: RequestSender,
        private readonly events: ForwarderEvents,
    ) {}

    static create(
        context: RequestContext,
        caller: CallerResponse,
        sender: RequestSender,
        events: ForwarderEvents,
    ): ResponseForwarder {
        return new ResponseForwarder(context, caller, sender, events);
    }

    forwardComplete(send: RequestAttempt, answer: IncomingMessage, body: Buffer | undefined): void {
        this.sender.abandonOthers(send);
        if (this.caller.sendComplete(answer, body, this.context.isDraining())) {
            this.events.onForwarded(send, answer);
        } else {
            this.sender.rejectResponse(send);
        }
    }

    forwardStream(send: RequestAttempt, answer: IncomingMessage): void {
        const link = this.context.linkLimitersFor(send.target);
        streamResponse(answer, this.caller.res, {
            onStart: () => this.startStream(send, answer),
            onChunk: bytes => link?.in.consume(bytes) ?? 0,
            onEnd: () => {
                if (this.sender.isActive(send)) {
                    this.caller.endStream();
                    this.events.onForwarded(send, answer);
                }
            },
        });
    }

    /** The caller gets headers only with the first bytes of the body: until then, the answer may fail. */
    private startStream(send: RequestAttempt, answer: IncomingMessage): boolean {
        if (this.events.isFinished() || !this.sender.isActive(send)) {
            return false;
        }
        this.sender.abandonOthers(send);
        if (this.caller.startStream(answer, this.context.isDraining())) {
            return true;
        }
        this.sender.rejectResponse(send);
        return false;
    }
}
