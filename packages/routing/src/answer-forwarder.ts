import type { IncomingMessage } from "node:http";
import type { CallerAnswer } from "./caller-answer.js";
import type { RequestContext } from "./request-context.js";
import type { Send } from "./send.js";
import type { Sender } from "./sender.js";
import { streamAnswer } from "./stream-answer.js";

interface ForwarderEvents {
    /** Whether the request has ended already. */
    readonly isOver: () => boolean;
    /** The answer has been passed on whole. */
    readonly onForwarded: (send: Send, answer: IncomingMessage) => void;
}

/** Passes the answer of one send on to the caller and ends the other sends of the request. */
export class AnswerForwarder {
    private constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerAnswer,
        private readonly sender: Sender,
        private readonly events: ForwarderEvents,
    ) {}

    static create(
        context: RequestContext,
        caller: CallerAnswer,
        sender: Sender,
        events: ForwarderEvents,
    ): AnswerForwarder {
        return new AnswerForwarder(context, caller, sender, events);
    }

    forwardWhole(send: Send, answer: IncomingMessage, body: Buffer | undefined): void {
        this.sender.abandonOthers(send);
        if (this.caller.sendWhole(answer, body, this.context.isDraining())) {
            this.events.onForwarded(send, answer);
        } else {
            this.sender.rejectAnswer(send);
        }
    }

    forwardStream(send: Send, answer: IncomingMessage): void {
        const link = this.context.linkTo(send.target);
        streamAnswer(answer, this.caller.res, {
            onStart: () => this.startStream(send, answer),
            onChunk: bytes => link?.in.take(bytes) ?? 0,
            onEnd: () => {
                if (this.sender.isActive(send)) {
                    this.caller.endStream();
                    this.events.onForwarded(send, answer);
                }
            },
        });
    }

    /** The caller gets headers only with the first bytes of the body: until then, the answer may fail. */
    private startStream(send: Send, answer: IncomingMessage): boolean {
        if (this.events.isOver() || !this.sender.isActive(send)) {
            return false;
        }
        this.sender.abandonOthers(send);
        if (this.caller.startStream(answer, this.context.isDraining())) {
            return true;
        }
        this.sender.rejectAnswer(send);
        return false;
    }
}
