import type { AddressInfo } from "node:net";
import { SystemClock } from "@samphireward/core/system-clock";
import { Tables } from "@samphireward/core/tables";
import { createCallersServer } from "@samphireward/routing/create-callers-server";
import { KeyClaimer } from "@samphireward/routing/key-claimer";
import { RequestHandler } from "@samphireward/routing/request-handler";
import { ShareRegistry } from "@samphireward/routing/share-registry";

/** As a cell's owner does, renews shares well before they expire. */
const GrantIntervalMs = 1_000;
const ShareTtlMs = 6_000;

const routes = `
[routes.read]
path = "/read"
pool = "desk"
kind = "request"
idempotent = true
deadline = "400ms"
maxBodyBytes = 65536
maxQueue = 200
objective = { latency = "250ms", ratio = 0.99 }
`;
const pools = `
[zones]
near = { region = "north", cells = 1 }
[links]
[teams.orders]
quota = { processors = 1, memoryMb = 1, accelerators = 0 }
[pools.desk]
class = "latency-critical"
team = "orders"
zones = ["near"]
interferenceClass = "render"
service = { name = "desk", reserve = { processors = 1, memoryMb = 1, accelerators = 0 }, slotsPerWorker = 8, connectionsPerWorker = 64 }
`;

class UnusedKeyClaimer extends KeyClaimer {
    private constructor() {
        super();
    }

    static create(): UnusedKeyClaimer {
        return new UnusedKeyClaimer();
    }

    override claim(): Promise<never> {
        return Promise.reject(new Error("the benchmark sends no idempotency keys"));
    }

    override release(): void {
        // No key is ever claimed.
    }
}

/** Starts the request handler as an entry process does, with fixed shares. */
export const startHandler = (targetPorts: readonly number[], slots: number): Promise<number> => {
    const clock = SystemClock.create();
    const shares = ShareRegistry.create(clock);
    const tables = Tables.create(routes, pools).unwrap();
    let sequence = 0;
    const grant = (): void => {
        sequence += 1;
        const { report } = shares.openStream("near/0", 1);
        shares.apply({
            cell: "near/0",
            epoch: 1,
            sequence,
            report,
            plannedSlots: slots * targetPorts.length,
            shares: targetPorts.map(port => ({
                worker: `w${port}`,
                serviceAddress: `127.0.0.1:${port}`,
                slots,
                connections: 64,
                epoch: 1,
                expiresInMs: ShareTtlMs,
            })),
        });
    };
    grant();
    setInterval(grant, GrantIntervalMs).unref();
    const handler = RequestHandler.create({
        clock,
        dataCentre: "near",
        tables: () => tables,
        shares,
        claimer: UnusedKeyClaimer.create(),
        onOutcome: () => undefined,
    });
    const server = createCallersServer(handler);
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
    });
};
