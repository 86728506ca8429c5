import t from "tap";
import type { Deployment } from "../src/deployment.js";
import { runUser } from "../src/run-user.js";
import { smallPlan } from "./fixtures/small-plan.js";

const RequestDurationMs = 2_000;

const namesOf = (kind: string): string[] => [0, 1, 2].map(index => `${kind}-vm-${index}`);
const systemNames = [...namesOf("entry"), ...namesOf("scheduler")];

const stopAll = async (deployment: Deployment, names: readonly string[]): Promise<void> => {
    const startMs = performance.now();
    const times = names.map(async name => {
        await deployment.process(name).stop();
        return `${name} ${Math.round(performance.now() - startMs)} ms`;
    });
    t.comment((await Promise.all(times)).join(", "));
};

const orders: [name: string, stop: (deployment: Deployment) => Promise<void>][] = [
    ["at once, with the platform", deployment => stopAll(deployment, [...systemNames, "store", "directory"])],
    [
        "one after the other",
        async deployment => {
            for (const name of systemNames) {
                await stopAll(deployment, [name]);
            }
        },
    ],
    [
        "while two of their peers are paused",
        async deployment => {
            const paused = ["entry-vm-0", "scheduler-vm-0"].map(name => deployment.process(name));
            paused.forEach(process => process.signal("SIGSTOP"));
            await stopAll(
                deployment,
                systemNames.filter(name => !name.endsWith("-0")),
            );
            paused.forEach(process => process.signal("SIGCONT"));
        },
    ],
];

// Guards against a process that waits for a peer, the store or a caller after it was asked to stop. `stop` kills a process
// that has not ended after 15 s, which is a violation.
for (const [name, stop] of orders) {
    t.test(`every process ends with 0 when it is asked to stop: ${name}`, async t => {
        const report = await runUser({
            plan: smallPlan,
            seed: 1201,
            requestDurationMs: RequestDurationMs,
            beforeStop: stop,
        });
        t.strictSame(report.violations, []);
        t.strictSame(report.failures, []);
    });
}
