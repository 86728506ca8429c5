import type { AddressInfo, Server, Socket } from "node:net";
import { createServer } from "node:net";
import { httpResponse } from "./http-response.js";

/** One request as received by the back end. */
interface ReceivedRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: ReadonlyMap<string, string>;
    readonly body: string;
    /** Number of the connection, counted from 1. */
    readonly connectionNumber: number;
    /** Number of the request on its connection, counted from 1. */
    readonly requestNumber: number;
}

type Behaviour = (socket: Socket, request: ReceivedRequest, backEnd: TestBackend) => void;

/** A back end on a real socket that records the received requests and then runs the behaviour given by the test. */
export class TestBackend {
    /** Requests other than health requests, in order of arrival. */
    readonly received: ReceivedRequest[] = [];
    connectionCount = 0;
    probeCount = 0;
    /** Whether health requests are answered. */
    isHealthy = true;
    private readonly sockets = new Set<Socket>();

    private constructor(
        private readonly server: Server,
        private readonly behaviour: Behaviour,
        private readonly onConnect: (socket: Socket, connectionNumber: number) => void,
    ) {}

    static start(
        behaviour: Behaviour,
        onConnect: (socket: Socket, connectionNumber: number) => void = () => undefined,
    ): Promise<TestBackend> {
        const server = createServer();
        const backEnd = new TestBackend(server, behaviour, onConnect);
        server.on("connection", socket => backEnd.accept(socket));
        return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(backEnd)));
    }

    get address(): string {
        return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    }

    async stop(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => this.server.close(resolve));
    }

    private accept(socket: Socket): void {
        this.connectionCount += 1;
        const connectionNumber = this.connectionCount;
        this.sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => this.sockets.delete(socket));
        this.onConnect(socket, connectionNumber);
        let buffered = "";
        let requestNumber = 0;
        socket.on("data", (chunk: Buffer) => {
            buffered += chunk.toString("latin1");
            for (let end = buffered.indexOf("\r\n\r\n"); end >= 0; end = buffered.indexOf("\r\n\r\n")) {
                const [first = "", ...lines] = buffered.slice(0, end).split("\r\n");
                const headers = new Map(
                    lines.map(line => [
                        line.slice(0, line.indexOf(":")).toLowerCase(),
                        line.slice(line.indexOf(":") + 2),
                    ]),
                );
                const bodyEnd = end + 4 + Number(headers.get("content-length") ?? 0);
                if (buffered.length < bodyEnd) {
                    return;
                }
                const body = buffered.slice(end + 4, bodyEnd);
                buffered = buffered.slice(bodyEnd);
                const [method = "", path = ""] = first.split(" ");
                requestNumber += 1;
                this.receive(socket, {
                    method,
                    path,
                    headers,
                    body,
                    connectionNumber,
                    requestNumber,
                });
            }
        });
    }

    private receive(socket: Socket, request: ReceivedRequest): void {
        if (request.path !== "/health") {
            this.received.push(request);
            this.behaviour(socket, request, this);
            return;
        }
        this.probeCount += 1;
        if (this.isHealthy) {
            socket.write(httpResponse("ok"));
        }
    }
}
