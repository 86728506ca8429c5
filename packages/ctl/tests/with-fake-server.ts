import { FakeAdminServer } from "./fake-admin-server.js";

/** Runs a check against a new fake server and stops the server afterwards. */
export const withFakeServer = async (check: (server: FakeAdminServer) => Promise<void>): Promise<void> => {
    const server = await FakeAdminServer.start();
    try {
        await check(server);
    } finally {
        await server.stop();
    }
};
