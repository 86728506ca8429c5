import type { EvictionSettings } from "@samphireward/placement/eviction-settings";
import { meanResult } from "./mean-result.js";
import { scenarios } from "./scenarios.js";
import { Simulation } from "./simulation.js";
import { userProfiles } from "./user-profiles.js";

/** Rules to compare by which a worker counts as overloaded. */
const rules: Readonly<Record<string, Partial<EvictionSettings>>> = {
    plain: { overloadReports: 1, recoveryReports: 1, recoveryPressure: 1 },
    thresholds: { overloadReports: 3, recoveryReports: 3, recoveryPressure: 1 },
    hold: { overloadReports: 1, recoveryReports: 1, recoveryPressure: 0.8 },
    "thresholds-and-hold": { overloadReports: 3, recoveryReports: 3, recoveryPressure: 0.8 },
};
const studiedScenarios = ["steady", "load-shift", "noisy-wave", "lag-30s", "wrong-sizes"];
const seeds = [1, 2, 3, 4];

for (const profile of userProfiles) {
    for (const scenario of scenarios.filter(({ name }) => studiedScenarios.includes(name))) {
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
