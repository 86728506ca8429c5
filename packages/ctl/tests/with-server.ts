import { FakeAdminServer } from "./fake-admin-server.js";

/** Runs a check against a fake server of its own and stops it afterwards. */
export const withServer = async (check: (server: FakeAdminServer) => Promise<void>): Promise<void> => {
    const server = await FakeAdminServer.start();
    try {
        await check(server);
    } finally {
        await server.stop();
    }
};
