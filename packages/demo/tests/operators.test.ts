import { setTimeout as sleep } from "node:timers/promises";
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import t from "tap";
import type { Deployment } from "../src/deployment.js";
import type { RunReport } from "../src/run-report.js";
import { runUser } from "../src/run-user.js";
import { runCtl } from "./fixtures/run-ctl.js";
import { smallPlan } from "./fixtures/small-plan.js";

const ConflictExitCode = 6;
const BaseRevision = 1;
const WinnerRevision = 2;

interface Health {
    readonly state: string;
    readonly revision: number;
}

/** Applies the example tables with the given queue limit through one entry process. */
const apply = (deployment: Deployment, vm: number, maxQueue: number): ReturnType<typeof runCtl> => {
    const examples = join(process.cwd(), "examples", smallPlan.user);
    const routes = join(deployment.dir, `routes-${maxQueue}.toml`);
    const text = readFileSync(join(examples, "routes.toml"), "utf8");
    writeFileSync(routes, text.replace("maxQueue = 200", `maxQueue = ${maxQueue}`));
    const address = deployment.addresses.entryVms[vm]?.admin ?? "";
    const tables = ["--routes", routes, "--pools", join(examples, "pools.toml")];
    const expected = ["--expect-revision", `${BaseRevision}`, "--author", `operator-${maxQueue}`];
    return runCtl(["apply", "--address", address, ...tables, ...expected, "--json"]);
};

/** Waits until each entry process sees every process of the system at exactly this revision. */
const waitUntilInForce = (deployment: Deployment, revision: number): Promise<void> =>
    deployment.waitUntil(`revision ${revision} in every process`, async () => {
        const views = await Promise.all(
            deployment.addresses.entryVms.map(vm =>
                deployment.readJson<{ members: { revision: number; state: string }[] }>(
                    vm.admin,
                    "/v1/members",
                ),
            ),
        );
        return views.every(({ members }) => {
            const live = members.filter(member => member.state === "alive");
            const expected = deployment.addresses.entryVms.length * 2;
            return live.length === expected && live.every(member => member.revision === revision);
        });
    });

/**
 * Polls the revision of every entry process until stopped. Records each that decreases, or is below the winner's in a
 * ready process.
 */
const watchForOlderRevisions = (deployment: Deployment): (() => Promise<string[]>) => {
    const older: string[] = [];
    let isStopped = false;
    const watch = async (name: string, admin: string): Promise<void> => {
        let highest = 0;
        while (!isStopped) {
            const health = await deployment.readJson<Health>(admin, "/v1/health").catch(() => undefined);
            // A process that does not answer has exited; the process that replaces it starts without tables.
            highest = health === undefined ? 0 : Math.max(highest, health.revision);
            const minRevision = health?.state === "ready" ? Math.max(highest, WinnerRevision) : highest;
            if (health !== undefined && health.revision < minRevision) {
                older.push(`${name} is ${health.state} at revision ${health.revision}`);
            }
            await sleep(20);
        }
    };
    const watches = deployment.addresses.entryVms.map(vm => watch(vm.name, vm.admin));
    return async () => {
        isStopped = true;
        await Promise.all(watches);
        return older;
    };
};

let report: RunReport | undefined;

// Guards against two concurrent changes that are both accepted, processes whose tables remain different, and a
// restarted process that applies an older revision.
t.test("two operators apply different tables at the same time", async t => {
    report = await runUser({
        plan: smallPlan,
        seed: 601,
        requestDurationMs: 20_000,
        duringLoad: async (deployment, balancer) => {
            const runs = await Promise.all([apply(deployment, 0, 150), apply(deployment, 1, 250)]);
            t.comment(runs.map(run => `exit ${run.exitCode}: ${run.output}`).join("\n"));
            t.strictSame(runs.map(run => run.exitCode).sort(), [0, ConflictExitCode]);
            const winner = runs[0]?.exitCode === 0 ? "operator-150" : "operator-250";
            await waitUntilInForce(deployment, WinnerRevision);
            const stopWatching = watchForOlderRevisions(deployment);
            for (const { name } of deployment.addresses.entryVms) {
                for (const process of [`scheduler-${name}`, `entry-${name}`]) {
                    await deployment.process(process).stop();
                    deployment.start(process);
                    await waitUntilInForce(deployment, WinnerRevision);
                }
                await deployment.waitUntil(`${name} to be ready again`, () =>
                    Promise.resolve(balancer.healthyCount === smallPlan.entryVms),
                );
            }
            t.strictSame(await stopWatching(), []);
            for (const { admin } of deployment.addresses.entryVms) {
                const config = await deployment.readJson<{ revision: number; author: string }>(
                    admin,
                    "/v1/config",
                );
                t.match(config, { revision: WinnerRevision, author: winner });
            }
        },
    });
    t.comment(report.formatLines().join("\n"));
    t.strictSame(report.violations, []);
});

// Guards against requests that are refused because the processes are restarted one after another.
t.test("requests are answered while every process is restarted", t => {
    t.strictSame(report?.failures, []);
    t.end();
});
