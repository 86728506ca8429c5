import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** An agent bound to one open socket. The default agent of Node would choose a socket itself. */
class SocketAgent extends Agent {
    private constructor(private readonly socket: Socket) {
        super({ keepAlive: true, maxSockets: 1 });
    }

    static create(socket: Socket): SocketAgent {
        return new SocketAgent(socket);
    }

    /** Called by `http.request`; overrides the search for a free socket. */
    addRequest(req: ClientRequest): void {
        req.onSocket(this.socket);
    }
}

interface ConnectionEvents {
    /** The response is complete and the target keeps the connection open. */
    readonly onFree: (connection: TargetConnection) => void;
    /** Called exactly once, when the connection is closed. */
    readonly onClosed: (connection: TargetConnection) => void;
}

/** One open connection to a target, used by one request at a time. */
export class TargetConnection {
    readonly agent: Agent;
    lastByteAtMs: number;
    private isIdle = true;
    private isClosed = false;

    private constructor(
        private readonly socket: Socket,
        private readonly nowMs: () => number,
        private readonly events: ConnectionEvents,
    ) {
        this.agent = SocketAgent.create(socket);
        // The target's operating system has just acknowledged the connection.
        this.lastByteAtMs = nowMs();
        socket.on("data", () => this.receive());
        socket.on("free", () => this.handleFree());
        socket.on("end", () => this.endWhenIdle());
        socket.on("error", () => this.destroy());
        socket.on("close", () => this.destroy());
    }

    /** `socket` must be connected. */
    static create(socket: Socket, nowMs: () => number, events: ConnectionEvents): TargetConnection {
        return new TargetConnection(socket, nowMs, events);
    }

    get isOpen(): boolean {
        return !this.isClosed;
    }

    /** Whether a byte has been received after `timeMs`. */
    hasReceivedSince(timeMs: number): boolean {
        return this.lastByteAtMs > timeMs;
    }

    markBusy(): void {
        this.isIdle = false;
    }

    /** Marks that no request is in progress; any byte that arrives from now on closes the connection. */
    markIdle(): void {
        this.isIdle = true;
    }

    destroy(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.socket.destroy();
        this.events.onClosed(this);
    }

    private receive(): void {
        this.lastByteAtMs = this.nowMs();
        if (this.isIdle) {
            // An unsolicited response would otherwise be taken as the response to the next request.
            this.destroy();
        }
    }

    private handleFree(): void {
        if (!this.isClosed) {
            this.markIdle();
            this.events.onFree(this);
        }
    }

    private endWhenIdle(): void {
        if (this.isIdle) {
            this.destroy();
        }
    }
}
