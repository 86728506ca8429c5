#!/usr/bin/env node
import { runUser } from "./run-user.js";
import { userPlans } from "./user-plans.js";

const Seed = 20_260;

const reports = await Promise.all([
    runUser({ plan: userPlans.kloverknap, seed: Seed }),
    runUser({ plan: userPlans.agency, seed: Seed + 1 }),
]);
for (const line of reports.flatMap(report => report.lines())) {
    process.stdout.write(`${line}\n`);
}
const isClean = reports.every(report => report.violations.length === 0 && report.unanswered === 0);
process.exitCode = isClean ? 0 : 1;
