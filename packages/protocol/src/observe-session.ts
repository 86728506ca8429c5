import type { Http2Session } from "node:http2";
import { constants } from "node:http2";
import { Code, ConnectError } from "@connectrpc/connect";

const CheckIntervalMs = 500;
/** A session on which nothing is received for this time is sent a ping. */
const PingAfterSilenceMs = 2_000;
const PingTimeoutMs = 2_000;

/**
 * Observes an HTTP/2 session until it is closed: pings it when it is silent, destroys it when a ping is not answered,
 * and calls `onClosed` with the reason once it is closed. Its error listener stays until then, so that no error of the
 * session is unhandled.
 */
export const observeSession = (session: Http2Session, onClosed: (reason: string) => void): void => {
    let reason = "closed without an error";
    let bytesRead = 0;
    // Counted in checks and not by the clock, so that a pause of this process is not taken for silence of the peer.
    let silentMs = 0;
    const check = (): void => {
        if (session.destroyed) {
            return;
        }
        const isSilent = session.socket.bytesRead === bytesRead;
        bytesRead = session.socket.bytesRead;
        silentMs = isSilent ? silentMs + CheckIntervalMs : 0;
        if (silentMs === PingAfterSilenceMs) {
            session.ping(() => undefined);
        } else if (silentMs >= PingAfterSilenceMs + PingTimeoutMs) {
            const message = `expected an answer to a ping within ${PingTimeoutMs} ms`;
            session.destroy(new ConnectError(message, Code.Unavailable), constants.NGHTTP2_CANCEL);
        }
    };
    const timer = setInterval(check, CheckIntervalMs).unref();
    session.on("error", (err: Error) => (reason = err.message));
    session.once("close", () => {
        clearInterval(timer);
        onClosed(reason);
    });
};
