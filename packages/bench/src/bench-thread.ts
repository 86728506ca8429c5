import { parentPort } from "node:worker_threads";
import type { BenchCase } from "./bench-case.js";
import { runScenario } from "./run-scenario.js";
import { scenarios } from "./scenarios.js";
import { userProfiles } from "./user-profiles.js";

/** Runs the cases that the main thread sends, and answers each with its lines. */
parentPort?.on("message", ({ user, scenario, seeds }: BenchCase) => {
    const profile = userProfiles.find(({ name }) => name === user);
    const found = scenarios.find(({ name }) => name === scenario);
    if (profile === undefined || found === undefined) {
        throw new RangeError(`unknown scenario ${user}/${scenario}`);
    }
    parentPort?.postMessage(runScenario(profile, found, seeds));
});
