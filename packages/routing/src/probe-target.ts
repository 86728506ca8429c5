import { request } from "node:http";
import type { RequestSettings } from "./request-settings.js";
import type { TargetConnection } from "./target-connection.js";
import type { TargetState } from "./target-state.js";

const sendHealthRequest = (
    connection: TargetConnection,
    timeoutMs: number,
    onDone: (isAnswered: boolean) => void,
): void => {
    let isDone = false;
    const finish = (isAnswered: boolean): void => {
        if (isDone) {
            return;
        }
        isDone = true;
        clearTimeout(timer);
        if (!isAnswered) {
            connection.destroy();
        }
        onDone(isAnswered);
    };
    const timer = setTimeout(() => finish(false), timeoutMs);
    const req = request({ agent: connection.agent, path: "/health", headers: { host: "health" } });
    req.on("error", () => finish(false));
    req.on("response", response => {
        response.on("error", () => finish(false));
        response.on("end", () => finish(response.complete));
        response.resume();
    });
    req.end();
};

/**
 * Opens a new connection to a target and sends a health request. `onDone(true)` means that the target responds on
 * new connections, so that a silent one may be lost; `onDone(false)` that the target is slow or unreachable. Only
 * one probe runs for a target at a time; a call during a probe does nothing and never calls `onDone`.
 */
export const probeTarget = (
    target: TargetState,
    settings: RequestSettings,
    onDone: (isAnswered: boolean) => void,
): void => {
    if (target.isProbing) {
        return;
    }
    target.isProbing = true;
    const finish = (isAnswered: boolean): void => {
        target.isProbing = false;
        onDone(isAnswered);
    };
    target.connections.openConnection(connection => {
        if (connection === undefined) {
            finish(false);
            return;
        }
        sendHealthRequest(connection, settings.probeTimeoutMs, finish);
    });
};
