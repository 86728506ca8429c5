import { setTimeout as sleep } from "node:timers/promises";
import type { Client, ConnectRouter } from "@connectrpc/connect";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import t from "tap";
import { createPeerTransport } from "../src/create-peer-transport.js";
import { PeerService } from "../src/gen/samphireward_pb.js";
import { PeerServer } from "../src/peer-server.js";
import { collectClientSockets } from "./collect-client-sockets.js";
import { StallingProxy } from "./stalling-proxy.js";

/** Longer than the 2 s without a received byte after which @connectrpc/connect-node would verify a session. */
const SilenceMs = 2_200;
/** Longer than a silent connection is kept, so that a call that reaches its deadline was not ended otherwise. */
const CallTimeoutMs = 10_000;

const routes = (router: ConnectRouter): void => {
    router.service(PeerService, { claimKey: () => ({ result: "granted" }) });
};

/** Calls the peer and returns the result, or the code of the error. */
const call = async (client: Client<typeof PeerService>): Promise<string> => {
    try {
        return (await client.claimKey({ key: "key" }, { timeoutMs: CallTimeoutMs })).result;
    } catch (err) {
        return Code[ConnectError.from(err).code];
    }
};

// Guards against a peer's GOAWAY that ends the process: @connectrpc/connect-node 2.1.1 destroys the idle session with
// an error, and a call before the socket is closed replaces the session and removes its error listener.
t.test("a call while a session without streams is closed after GOAWAY", async t => {
    const sockets = collectClientSockets(t);
    const server = PeerServer.create(routes);
    const address = await server.listen("127.0.0.1:0");
    const reasons: string[] = [];
    const transport = createPeerTransport(address, reason => reasons.push(reason));
    const client = createClient(PeerService, transport);
    t.equal(await call(client), "granted");
    const [socket] = sockets;
    const closed = new Promise(resolve => socket?.once("close", resolve));
    // "finish" is emitted after the session is destroyed and before its socket is closed.
    const called = new Promise(resolve => socket?.once("finish", () => resolve(call(client))));
    await server.close();
    const restarted = PeerServer.create(routes);
    await restarted.listen(address);
    await called;
    await closed;
    t.equal(await call(client), "granted");
    t.strictSame(reasons, ["[canceled] received GOAWAY without any open streams"]);
    await restarted.close();
});

// Guards against a verification by @connectrpc/connect-node 2.1.1 that replaces a session which is just connecting:
// the session's error, here a refused connection, is then unhandled and ends the process, and the call that waits for
// it reaches its deadline.
t.test("calls before and while an unresponsive session is closed after GOAWAY", async t => {
    const sockets = collectClientSockets(t);
    const server = PeerServer.create(routes);
    const proxy = StallingProxy.create(await server.listen("127.0.0.1:0"));
    const client = createClient(
        PeerService,
        createPeerTransport(await proxy.listen(), () => undefined),
    );
    t.equal(await call(client), "granted");
    const [socket] = sockets;
    proxy.stall();
    await sleep(SilenceMs);
    const before = call(client);
    const during = new Promise<string>(resolve => socket?.once("finish", () => resolve(call(client))));
    proxy.stopListening();
    await server.close();
    t.equal(await during, "Unavailable");
    t.not(await before, "DeadlineExceeded");
    t.equal(await call(client), "Unavailable");
    proxy.close();
});

// Guards against calls that wait for their deadline because the session to verify is closed without an error, as when
// the peer is killed: in @connectrpc/connect-node 2.1.1 that verification never ends.
t.test("calls while an unresponsive session is closed without an error", async t => {
    const server = PeerServer.create(routes);
    const proxy = StallingProxy.create(await server.listen("127.0.0.1:0"));
    const reasons: string[] = [];
    const transport = createPeerTransport(await proxy.listen(), reason => reasons.push(reason));
    const client = createClient(PeerService, transport);
    t.equal(await call(client), "granted");
    proxy.stall();
    await sleep(SilenceMs);
    const during = call(client);
    proxy.endConnections();
    t.not(await during, "DeadlineExceeded");
    t.equal(await call(client), "granted");
    t.strictSame(reasons, ["closed without an error"]);
    proxy.close();
    await server.close();
});

// Guards against a connection that stays in use although the peer does not answer on it any more.
t.test("a silent connection is replaced", async t => {
    const sockets = collectClientSockets(t);
    const server = PeerServer.create(routes);
    const proxy = StallingProxy.create(await server.listen("127.0.0.1:0"));
    const reasons: string[] = [];
    const transport = createPeerTransport(await proxy.listen(), reason => reasons.push(reason));
    const client = createClient(PeerService, transport);
    t.equal(await call(client), "granted");
    const [socket] = sockets;
    const closed = new Promise(resolve => socket?.once("close", resolve));
    proxy.stall();
    t.equal(await call(client), "Unavailable");
    await closed;
    t.strictSame(reasons, ["[unavailable] expected an answer to a ping within 2000 ms"]);
    t.equal(await call(client), "granted");
    proxy.close();
    await server.close();
});

// Guards against idle connections that are taken for silent although the peer answers pings.
t.test("an idle connection is kept", async t => {
    const sockets = collectClientSockets(t);
    const server = PeerServer.create(routes);
    const client = createClient(
        PeerService,
        createPeerTransport(await server.listen("127.0.0.1:0"), () => undefined),
    );
    t.equal(await call(client), "granted");
    await sleep(6_000);
    t.equal(await call(client), "granted");
    t.equal(sockets.length, 1);
    await server.close();
});
