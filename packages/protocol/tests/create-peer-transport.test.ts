import type { ConnectRouter } from "@connectrpc/connect";
import { createClient } from "@connectrpc/connect";
import t from "tap";
import { createPeerTransport } from "../src/create-peer-transport.js";
import { PeerService } from "../src/gen/samphireward_pb.js";
import { PeerServer } from "../src/peer-server.js";
import { collectClientSockets } from "./collect-client-sockets.js";

const routes = (router: ConnectRouter): void => {
    router.service(PeerService, { claimKey: () => ({ result: "granted" }) });
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
    t.match(await client.claimKey({ key: "before" }), { result: "granted" });
    const [socket] = sockets;
    const closed = new Promise(resolve => socket?.once("close", resolve));
    // "finish" is emitted after the session is destroyed and before its socket is closed.
    const called = new Promise(resolve => {
        socket?.once("finish", () => resolve(client.claimKey({ key: "meanwhile" }).catch(() => undefined)));
    });
    await server.close();
    const restarted = PeerServer.create(routes);
    await restarted.listen(address);
    await called;
    await closed;
    t.match(await client.claimKey({ key: "after" }), { result: "granted" });
    t.strictSame(reasons, ["[canceled] received GOAWAY without any open streams"]);
    await restarted.close();
});
