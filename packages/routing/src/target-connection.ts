import { Agent } from "node:http";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** An agent for exactly one open socket. Node's own agent would choose a socket by itself. */
class SocketAgent extends Agent {
    private constructor(private readonly socket: Socket) {
        super({ keepAlive: true, maxSockets: 1 });
    }

    static create(socket: Socket): SocketAgent {
        return new SocketAgent(socket);
    }

    /** Called by `http.request` in place of the search for a free socket. */
    addRequest(req: ClientRequest): void {
        req.onSocket(this.socket);
    }
}

interface ConnectionEvents {
    /** The answer is complete and the target keeps the connection open. */
    readonly onFree: (connection: TargetConnection) => void;
    /** Called once; the connection counts as closed from here on. */
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
        // Opening the connection was answered by the target's system just now.
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

    /** Whether no byte has been received since the connection was last taken into use. */
    hasReceivedSince(timeMs: number): boolean {
        return this.lastByteAtMs > timeMs;
    }

    markBusy(): void {
        this.isIdle = false;
    }

    /** No request is in progress; any byte that arrives now closes the connection. */
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
            // An answer that nobody asked for would otherwise be taken as the answer to the next request.
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
