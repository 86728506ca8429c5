import { once } from "node:events";
import { Socket, connect } from "node:net";
import { setImmediate } from "node:timers/promises";
import t from "tap";
import { BoundedServer } from "../src/bounded-server.js";
import { deriveServerLimits } from "../src/derive-server-limits.js";
import { listen } from "../src/listen.js";
import { ReadTurns } from "../src/read-turns.js";

/** Enough for several turns. */
const Chunks = 5_000;
const MaxBodyBytes = 10_000;

/** Sends text on a connection of its own until the server closes it, and returns all that it has received. */
const exchange = async (port: number, text: string): Promise<string> => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", (chunk: Buffer) => (received += chunk.toString()));
    socket.write(text);
    await once(socket, "close");
    return received;
};

// Guards against chunks of all connections that are handled before anything else.
t.test(
    "of the connections that have used up their turns, one is read in each turn of the event loop",
    async t => {
        const turns = ReadTurns.create();
        const sockets = Array.from({ length: 3 }, () => new Socket().resume());
        for (const socket of sockets) {
            for (let chunk = 0; chunk < Chunks; chunk++) {
                turns.countChunk(socket);
            }
        }
        const paused = (): number => sockets.filter(socket => socket.isPaused()).length;
        t.equal(paused(), 3, "all wait");
        for (const expected of [2, 1, 0]) {
            await setImmediate();
            t.equal(paused(), expected);
            t.equal(sockets.filter(socket => turns.isWaiting(socket)).length, expected);
        }
    },
);

const chunked = (path: string, chunks: number): string =>
    `POST ${path} HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n${"1\r\nx\r\n".repeat(chunks)}0\r\n\r\n`;

const bodies: [name: string, path: string, chunks: number, status: number, handled: number[]][] = [
    ["within the limit", "/", Chunks, 200, [Chunks, 0]],
    ["beyond the limit", "/", 20 * Chunks, 413, []],
    ["that the listener doesn't read", "/unread", 20 * Chunks, 404, []],
];

// Guards against a connection that is never read again after its turn.
for (const [name, path, chunks, status, handled] of bodies) {
    t.test(`a body in very many small chunks ${name} is answered`, async t => {
        const handledBytes: number[] = [];
        const { server } = BoundedServer.create({
            limits: deriveServerLimits({}),
            listener: async (req, _res, request) => {
                if (req.url === "/unread") {
                    request.send(404, {}, "");
                    return;
                }
                const body = await request.readBody(MaxBodyBytes);
                if (body.isErr()) {
                    request.send(body.error.status, {}, body.error.text);
                    return;
                }
                handledBytes.push(body.value.length);
                request.send(200, {}, "");
            },
        });
        t.teardown(() => {
            server.closeAllConnections();
            server.close();
        });
        const address = await listen(server, "127.0.0.1:0");
        const next = "GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        const received = await exchange(Number(address.split(":")[1]), chunked(path, chunks) + next);
        t.match(received, new RegExp(`^HTTP/1.1 ${status} `));
        t.same(handledBytes, handled, "lengths of the bodies that were handled");
    });
}
