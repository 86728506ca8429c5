import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import { meanResult } from "./mean-result.js";
import { scenarios } from "./scenarios.js";
import { Simulation } from "./simulation.js";
import { userProfiles } from "./user-profiles.js";

/** Ways to decide whether a worker is overloaded. */
const rules: Readonly<Record<string, Partial<EvictionSettings>>> = {
    plain: { enterReports: 1, leaveReports: 1, leavePressure: 1 },
    thresholds: { enterReports: 3, leaveReports: 3, leavePressure: 1 },
    hold: { enterReports: 1, leaveReports: 1, leavePressure: 0.8 },
    "thresholds-and-hold": { enterReports: 3, leaveReports: 3, leavePressure: 0.8 },
};
const studied = ["steady", "load-shift", "noisy-wave", "lag-30s", "wrong-sizes"];
const seeds = [1, 2, 3, 4];

for (const profile of userProfiles) {
    for (const scenario of scenarios.filter(({ name }) => studied.includes(name))) {
        for (const [rule, settings] of Object.entries(rules)) {
            const result = meanResult(
                seeds.map(seed => Simulation.run(profile, scenario, "interference-aware", seed, settings)),
            );
            process.stdout.write(
                `${JSON.stringify({ user: profile.name, scenario: scenario.name, rule, seeds, ...result })}\n`,
            );
        }
    }
}
