import t from "tap";
import { checkSchedules } from "./check-schedules.js";
import { Mutant } from "./mutant.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 1000);

/** Shards run in processes of their own, so that a long run stays within the runner's limit for one file. */
const ShardCount = 4;

/** Runs one shard's part of the schedules. A failure prints the seed, the path and the shrunk schedule. */
export const testShard = (seed: number, kind: "arbitrary" | "withCrashes" = "arbitrary"): void => {
    t.setTimeout(0);
    void t.test("random schedules of faults keep the invariants", { timeout: 0 }, async t => {
        const result = await checkSchedules(Mutant.None, seed, Math.ceil(ScheduleCount / ShardCount), kind);
        t.notOk(result.failed, `${result.where}\n${result.report}`);
    });
};
