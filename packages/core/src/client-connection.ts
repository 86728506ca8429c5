import type { Socket } from "node:net";
import type { ClientRequest } from "./client-request.js";

/** A connection of a client, and how much it has asked for. */
export interface ClientConnection {
    readonly socket: Socket;
    /** Requests whose responses are not sent, or whose handlers are not done. */
    readonly openRequests: Set<ClientRequest>;
    /** Requests whose bodies are complete and that are being handled. */
    handledRequests: number;
    /** Whether it is being closed, so that no further request is read from it. */
    isClosing: boolean;
}
