import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { JsonClient } from "@samphireward/core/json-client";
import type { Deployment } from "./deployment.js";

const TimeoutMs = 5_000;

/** Applies the user's tables from examples/ and waits until every process runs them. */
export const applyTables = async (deployment: Deployment): Promise<void> => {
    const dir = join(process.cwd(), "examples", deployment.plan.user);
    const routes = readFileSync(join(dir, "routes.toml"), "utf8");
    const pools = readFileSync(join(dir, "pools.toml"), "utf8");
    const admin = deployment.addresses.entryVms[0]?.admin ?? "";
    const client = JsonClient.create(admin);
    const body = { expectedRevision: 0, changeId: randomUUID(), author: "demo", routes, pools };
    await deployment.until("applying the tables", async () => {
        const { status } = await client.call("PUT", "/v1/config", { body, timeoutMs: TimeoutMs });
        return status === 200;
    });
    client.close();
    await deployment.until("the tables in force everywhere", async () => {
        const { members } = await deployment.read<{ members: { revision: number }[] }>(admin, "/v1/members");
        const expected = deployment.addresses.entryVms.length * 2;
        return members.length >= expected && members.every(member => member.revision >= 1);
    });
};
