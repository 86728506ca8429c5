import type { IncomingMessage, ServerResponse } from "node:http";
import { ResultCode } from "@samphireward/core/result-code";
import { endToEndHeaders } from "./end-to-end-headers.js";
import { HeaderName } from "./header-name.js";
import { sendCode } from "./send-code.js";

/**
 * The single response to a caller: a result code, a target's complete response, a stream, or an aborted connection.
 */
export class CallerResponse {
    /** 499 until something has been sent. */
    status = 499;
    code: ResultCode = ResultCode.CallerGone;
    isStarted = false;
    isEnded = false;

    private constructor(readonly res: ServerResponse) {
        // A write to a caller that has disconnected is reported here and by `close`.
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

    /** Sends headers and body together. Returns `false` when the headers cannot be forwarded. */
    sendComplete(targetResponse: IncomingMessage, body: Buffer | undefined, isClosing: boolean): boolean {
        if (!this.writeHeaders(targetResponse, isClosing)) {
            return false;
        }
        this.isEnded = true;
        this.res.end(body);
        return true;
    }

    /**
     * Sends the headers; the caller of this method writes the body. Returns `false` when they cannot be forwarded.
     */
    startStream(targetResponse: IncomingMessage, isClosing: boolean): boolean {
        return this.writeHeaders(targetResponse, isClosing);
    }

    endStream(): void {
        this.isEnded = true;
        this.res.end();
    }

    /**
     * Resets the caller's connection, so that a partial response cannot be taken for a complete one. An HTTP/1.0
     * caller reads a response up to the end of the connection and would not notice an orderly close.
     */
    abort(code: ResultCode): void {
        this.code = code;
        this.res.socket?.resetAndDestroy();
        this.res.destroy();
    }

    private writeHeaders(targetResponse: IncomingMessage, isClosing: boolean): boolean {
        const headers = endToEndHeaders(targetResponse.rawHeaders, targetResponse.headers.connection);
        headers.push(HeaderName.Code, String(ResultCode.Answered));
        if (isClosing) {
            headers.push("connection", "close");
        }
        const status = targetResponse.statusCode ?? 502;
        try {
            this.res.writeHead(status, targetResponse.statusMessage, headers);
        } catch {
            // Node throws on headers that are not valid to send.
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
