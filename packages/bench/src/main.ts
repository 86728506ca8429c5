import { readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";
import type { Bounds } from "./bounds.js";
import { checkBounds } from "./check-bounds.js";
import { runUnits } from "./run-units.js";
import { scenarios } from "./scenarios.js";
import { userProfiles } from "./user-profiles.js";

const boundsFile = join(import.meta.dirname, "../../bounds.json");

const { values } = parseArgs({
    options: {
        check: { type: "boolean", default: false },
        user: { type: "string" },
        scenario: { type: "string" },
        seeds: { type: "string", default: "1,2,3" },
    },
});
const seeds = values.seeds.split(",").map(Number);
const units = userProfiles
    .filter(({ name }) => name === (values.user ?? name))
    .flatMap(profile =>
        scenarios
            .filter(({ name }) => name === (values.scenario ?? name))
            .map(scenario => ({ user: profile.name, scenario: scenario.name, seeds })),
    );
const lines = (await runUnits(units)).flat();
lines.forEach(line => process.stdout.write(`${JSON.stringify(line)}\n`));
if (values.check) {
    const problems = checkBounds(lines, JSON.parse(readFileSync(boundsFile, "utf8")) as Bounds);
    problems.forEach(problem => process.stderr.write(`${problem}\n`));
    process.exitCode = problems.length > 0 || lines.length === 0 ? 1 : 0;
}
