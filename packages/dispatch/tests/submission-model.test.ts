import { ManualClock } from "@samphireward/core/manual-clock";
import * as fc from "fast-check";
import t from "tap";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { cellKeys } from "../src/cell-keys.js";
import { jobCodec } from "../src/job-codec.js";
import { JobGateway } from "../src/job-gateway.js";
import { JobWriter } from "../src/job-writer.js";
import { PeerClient } from "../src/peer-client.js";
import { SubmitOutcome } from "../src/submit-outcome.js";
import { TombstoneCleaner } from "../src/tombstone-cleaner.js";
import { tombstoneLimits } from "../src/tombstone-limits.js";
import { NullLog } from "./null-log.js";
import { oneTaskJob } from "./one-task-job.js";
import type { TransactionFate } from "./transaction-fate.js";
import { TransactionStore } from "./transaction-store.js";

const ScheduleCount = Number(process.env["FAULT_SCHEDULES"] ?? 400);
const Seed = Number(process.env["FAULT_SEED"] ?? 55);
const ProcessCount = 3;
/** So short that a write is not retried. */
const BudgetMs = 50;
const { id } = oneTaskJob;
const fates: readonly TransactionFate[] = ["answer", "answer", "answer", "refuse", "lose-answer", "hold"];

/** What a process does, and what becomes of the transactions of that step. */
interface Step {
    readonly action: "submit" | "cancel" | "apply-held" | "restart" | "clean" | "wait";
    readonly process: number;
    readonly fate: TransactionFate;
}

const schedules = fc.array(
    fc.record({
        action: fc.constantFrom<Step["action"][]>(
            "submit",
            "submit",
            "cancel",
            "cancel",
            "apply-held",
            "restart",
            "clean",
            "wait",
        ),
        process: fc.nat(ProcessCount - 1),
        fate: fc.constantFrom(...fates),
    }),
    { minLength: 2, maxLength: 14 },
);

/** Runs a schedule of one job; returns what broke a promise to its callers. */
const violationsOf = async (schedule: readonly Step[], writesTombstones: boolean): Promise<string[]> => {
    const store = TransactionStore.create();
    const clock = ManualClock.create(1_000_000);
    const cells = CellDirectory.create();
    cells.set([{ owner: undefined, ownerRecord: undefined } as CellCandidate]);
    const log = NullLog.create();
    const createGateway = (): JobGateway => {
        const writer = JobWriter.create(store, clock);
        return JobGateway.create(cells, store, writer, PeerClient.create(), clock, log);
    };
    const gateways = Array.from({ length: ProcessCount }, createGateway);
    const cleaner = TombstoneCleaner.create({ cell: 0, store, clock, log });
    const violations: string[] = [];
    let isAccepted = false;
    let isKnownMissing = false;
    const stored = (): string | undefined =>
        store.items.find(({ key }) => key === cellKeys.job(0, id))?.value;
    const isJobStored = (): boolean =>
        stored() !== undefined && jobCodec.decodeTombstone(stored() ?? "") === undefined;
    for (const { action, process, fate } of schedule) {
        const gateway = gateways[process] ?? createGateway();
        store.fate = fate;
        switch (action) {
            case "submit": {
                const outcome = await gateway.submit(oneTaskJob, clock.nowMs() + BudgetMs);
                isAccepted ||= outcome === SubmitOutcome.Accepted;
                if (outcome === SubmitOutcome.Accepted && !isJobStored()) {
                    violations.push("an accepted job is not stored");
                }
                break;
            }
            case "cancel": {
                const cancelled = await gateway.cancel(id, clock.nowMs() + BudgetMs);
                isKnownMissing ||= cancelled.isOk() && !cancelled.value;
                break;
            }
            case "apply-held":
                store.applyHeld();
                break;
            case "restart":
                gateways[process] = createGateway();
                break;
            case "clean":
                store.items.forEach(({ key, value, revision }) => {
                    const tombstone = jobCodec.decodeTombstone(value);
                    if (tombstone !== undefined) {
                        cleaner.add({ key, revision, ...tombstone });
                    }
                });
                await cleaner.removeExpired();
                break;
            case "wait":
                // Shorter than the retention together, as a late write is.
                clock.advance(tombstoneLimits.retentionMs / schedule.length - 1);
                break;
        }
        if (!writesTombstones) {
            store.items = store.items.filter(({ value }) => jobCodec.decodeTombstone(value) === undefined);
        }
    }
    store.applyHeld();
    if (isKnownMissing && isJobStored()) {
        violations.push("a job is stored although its cancellation was answered with no such job");
    }
    if (isKnownMissing && isAccepted) {
        violations.push("a job was accepted, and its cancellation answered with no such job");
    }
    return violations;
};

const check = (writesTombstones: boolean): Promise<fc.RunDetails<[Step[]]>> =>
    fc.check(
        fc.asyncProperty(schedules, async schedule => {
            const violations = await violationsOf(schedule, writesTombstones);
            return violations.length === 0 || Promise.reject(new Error(violations.join("; ")));
        }) as fc.IAsyncProperty<[Step[]]>,
        { seed: Seed, numRuns: ScheduleCount, endOnFailure: true },
    );

// Guards against an order of submissions, cancellations, restarts and late writes in which a job runs although its caller was
// told that there is no such job, or is lost although it was accepted.
t.test("a job is either accepted or cancelled as unknown, never both", async t => {
    const result = await check(true);
    t.notOk(result.failed, fc.defaultReportMessage(result) ?? "");
});

// Guards against a checker that detects nothing.
t.test("the checker detects cancellations that store nothing", async t => {
    t.ok((await check(false)).failed);
});
