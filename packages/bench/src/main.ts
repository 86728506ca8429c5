import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import type { KnownFailure } from "@samphireward/tools/known-failure";
import { parseKnownFailures } from "@samphireward/tools/parse-known-failures";
import type { Bounds } from "./bounds.js";
import { checkBounds } from "./check-bounds.js";
import { runCases } from "./run-cases.js";
import { scenarios } from "./scenarios.js";
import { userProfiles } from "./user-profiles.js";

const boundsFile = join(import.meta.dirname, "../../bounds.json");

const knownFailuresFile = join(import.meta.dirname, "../../../../KNOWN-RED.txt");

const readKnownFailures = (): KnownFailure[] =>
    existsSync(knownFailuresFile) ? parseKnownFailures(readFileSync(knownFailuresFile, "utf8")) : [];

const { values } = parseArgs({
    options: {
        check: { type: "boolean", default: false },
        user: { type: "string" },
        scenario: { type: "string" },
        seeds: { type: "string", default: "1,2,3" },
    },
});
const seeds = values.seeds.split(",").map(Number);
const cases = userProfiles
    .filter(({ name }) => name === (values.user ?? name))
    .flatMap(profile =>
        scenarios
            .filter(({ name }) => name === (values.scenario ?? name))
            .map(scenario => ({ user: profile.name, scenario: scenario.name, seeds })),
    );
const lines = (await runCases(cases)).flat();
lines.forEach(line => process.stdout.write(`${JSON.stringify(line)}\n`));
if (values.check) {
    const violations = checkBounds(lines, JSON.parse(readFileSync(boundsFile, "utf8")) as Bounds);
    const known = new Set(readKnownFailures().map(entry => entry.test));
    for (const { name, message } of violations) {
        process.stderr.write(
            `${known.has(name) ? "known failure" : "past the bound"}: ${name}: ${message}\n`,
        );
    }
    const isPast = violations.some(({ name }) => !known.has(name));
    process.exitCode = isPast || lines.length === 0 ? 1 : 0;
}
