import { setTimeout } from "node:timers/promises";
import { createClient } from "@connectrpc/connect";
import { PeerService } from "@samphireward/protocol/gen/samphireward_pb";
import { PeerServer } from "@samphireward/protocol/peer-server";
import t from "tap";
import { TransportCache } from "../src/transport-cache.js";

// Guards against an unhandled error that ends the process when a peer stops while its connection is dropped.
t.test("dropping a connection while the peer sends GOAWAY raises no error", async t => {
    for (let round = 0; round < 20; round += 1) {
        const server = PeerServer.create(router => {
            router.service(PeerService, { claimKey: () => ({ result: "granted" }) });
        });
        const address = await server.listen("127.0.0.1:0");
        const transports = TransportCache.create(() => undefined);
        const { result } = await createClient(PeerService, transports.get(address)).claimKey({ key: "k" });
        t.equal(result, "granted");
        const closed = server.close();
        await new Promise(resolve => setImmediate(resolve));
        transports.retainOnly(new Set());
        await closed;
    }
});

// Guards against a process that does not end after its stop, since a peer that is paused never answers a call.
t.test("a call that is never answered ends when the connections are closed", async t => {
    const server = PeerServer.create(router => {
        router.service(PeerService, { claimKey: () => new Promise(() => undefined) });
    });
    const address = await server.listen("127.0.0.1:0");
    t.teardown(() => server.close());
    const reasons: string[] = [];
    const transports = TransportCache.create((_address, reason) => reasons.push(reason));
    const call = createClient(PeerService, transports.get(address)).claimKey({ key: "k" });
    call.catch(() => undefined);
    await setTimeout(50);
    transports.close();
    await t.rejects(call);
    await setTimeout(50);
    t.equal(reasons.length, 1, "the connection is closed");
});
