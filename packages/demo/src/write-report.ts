import { execFile } from "node:child_process";
import { mkdirSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { promisify } from "node:util";
import type { Deployment } from "./deployment.js";

const program = createRequire(import.meta.url).resolve("@samphireward/report/main");

/** Writes the deployment's SLO burn-rate report as HTML to a directory. Does nothing if none is given. */
export const writeReport = async (deployment: Deployment, dir: string | undefined): Promise<void> => {
    if (dir === undefined) {
        return;
    }
    mkdirSync(dir, { recursive: true });
    const file = join(dir, `${deployment.plan.user}.html`);
    const addresses = deployment.addresses.entryVms.map(({ admin }) => admin);
    await promisify(execFile)(process.execPath, [program, "--html", file, ...addresses]);
};
