import type { IncomingMessage, ServerResponse } from "node:http";
import { ResultCode } from "@samphireward/core/result-code";
import { endToEndHeaders } from "./end-to-end-headers.js";
import { HeaderName } from "./header-name.js";
import { sendCode } from "./send-code.js";

/** The one answer that a caller gets: a code, a target's whole answer, a stream, or a visible abort. */
export class CallerResponse {
    /** 499 until something has been sent. */
    status = 499;
    code: ResultCode = ResultCode.CallerGone;
    isStarted = false;
    isEnded = false;

    private constructor(readonly res: ServerResponse) {
        // Writing to a caller that has just left is reported here and by `close`.
        res.on("error", () => undefined);
    }

    static create(res: ServerResponse): CallerResponse {
        return new CallerResponse(res);
    }

    sendCode(code: ResultCode, isClosing: boolean): void {
        this.markStarted(code);
        this.isEnded = true;
        this.status = sendCode(this.res, code, isClosing);
    }

    /** Sends headers and body at once. Returns `false` when the headers cannot be passed on. */
    sendComplete(answer: IncomingMessage, body: Buffer | undefined, isClosing: boolean): boolean {
        if (!this.writeHeaders(answer, isClosing)) {
            return false;
        }
        this.isEnded = true;
        this.res.end(body);
        return true;
    }

    /** Sends the headers; the caller of this method sends the body. */
    startStream(answer: IncomingMessage, isClosing: boolean): boolean {
        return this.writeHeaders(answer, isClosing);
    }

    endStream(): void {
        this.isEnded = true;
        this.res.end();
    }

    /**
     * Resets the caller's connection, so that a part of an answer cannot be taken for the whole. An HTTP/1.0
     * caller reads an answer up to the end of the connection and would not notice an orderly close.
     */
    abort(code: ResultCode): void {
        this.code = code;
        this.res.socket?.resetAndDestroy();
        this.res.destroy();
    }

    private writeHeaders(answer: IncomingMessage, isClosing: boolean): boolean {
        const headers = endToEndHeaders(answer.rawHeaders, answer.headers.connection);
        headers.push(HeaderName.Code, String(ResultCode.Answered));
        if (isClosing) {
            headers.push("connection", "close");
        }
        const status = answer.statusCode ?? 502;
        try {
            this.res.writeHead(status, answer.statusMessage, headers);
        } catch {
            // Node refuses headers that it would not accept itself.
            return false;
        }
        this.markStarted(ResultCode.Answered);
        this.status = status;
        return true;
    }

    private markStarted(code: ResultCode): void {
        this.isStarted = true;
        this.code = code;
    }
}
