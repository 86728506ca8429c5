import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { JsonClient } from "@samphireward/core/json-client";
import type { Deployment } from "./deployment.js";

const CallTimeoutMs = 5_000;

/** Applies the user's tables from examples/ and waits until they are in force in every process. */
export const applyTables = async (deployment: Deployment): Promise<void> => {
    const dir = join(process.cwd(), "examples", deployment.plan.user);
    const routes = readFileSync(join(dir, "routes.toml"), "utf8");
    const pools = readFileSync(join(dir, "pools.toml"), "utf8");
    const admin = deployment.addresses.entryVms[0]?.admin ?? "";
    const client = JsonClient.create(admin);
    const body = { expectedRevision: 0, changeId: randomUUID(), author: "demo", routes, pools };
    await deployment.waitUntil("the tables to be applied", async () => {
        const { status } = await client.call("PUT", "/v1/config", { body, timeoutMs: CallTimeoutMs });
        return status === 200;
    });
    client.close();
    await deployment.waitUntil("the tables to be in force in every process", async () => {
        const { members } = await deployment.readJson<{ members: { revision: number }[] }>(
            admin,
            "/v1/members",
        );
        const expected = deployment.addresses.entryVms.length * 2;
        return members.length >= expected && members.every(member => member.revision >= 1);
    });
};
