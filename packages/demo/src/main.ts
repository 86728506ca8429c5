#!/usr/bin/env node
import { parseArgs } from "node:util";
import { runUser } from "./run-user.js";
import { userPlans } from "./user-plans.js";
import { writeReport } from "./write-report.js";

const Seed = 20_260;

const { values } = parseArgs({
    options: {
        /** Directory for an SLO burn-rate report of each user. */
        report: { type: "string" },
    },
});
const runs = Object.values(userPlans).map((plan, index) =>
    runUser({
        plan,
        seed: Seed + index,
        beforeStop: deployment => writeReport(deployment, values.report),
    }),
);
const reports = await Promise.all(runs);
for (const line of reports.flatMap(report => report.formatLines())) {
    process.stdout.write(`${line}\n`);
}
const isClean = reports.every(report => report.violations.length === 0 && report.unansweredCount === 0);
process.exitCode = isClean ? 0 : 1;
