import t from "tap";
import { CrashEvidence } from "../src/crash-evidence.js";
import type { CrashObservation } from "../src/crash-observation.js";

/** A loss of each worker in 1,000 s. */
const RareLossPerMs = 1e-6;
/** A loss of each worker in 14 s. */
const FrequentLossPerMs = 7e-5;

const crashAt = (minAgeMs: number, maxAgeMs: number, lossRatePerMs: number): CrashObservation => ({
    minAgeMs,
    maxAgeMs,
    lossRatePerMs,
    sharedLossProbability: 0,
});

const evidenceOf = (crashes: readonly CrashObservation[]): CrashEvidence =>
    crashes.reduce((evidence, crash) => evidence.add(crash), CrashEvidence.none);

const early = (lossRatePerMs: number): CrashObservation => crashAt(0, 50, lossRatePerMs);
const shared = { ...early(RareLossPerMs), sharedLossProbability: 0.5 };

interface EvidenceCase {
    readonly name: string;
    readonly crashes: readonly CrashObservation[];
    readonly count: number;
    readonly isConclusive: boolean;
}

const cases: readonly EvidenceCase[] = [
    { name: "none", crashes: [], count: 0, isConclusive: false },
    { name: "two", crashes: [early(RareLossPerMs), early(RareLossPerMs)], count: 2, isConclusive: false },
    {
        name: "three where losses are rare",
        crashes: Array.from({ length: 3 }, () => early(RareLossPerMs)),
        count: 3,
        isConclusive: true,
    },
    {
        name: "three where losses are frequent",
        crashes: Array.from({ length: 3 }, () => early(FrequentLossPerMs)),
        count: 3,
        isConclusive: false,
    },
    { name: "three beside others", crashes: [shared, shared, shared], count: 3, isConclusive: false },
    { name: "four beside others", crashes: [shared, shared, shared, shared], count: 4, isConclusive: true },
    {
        name: "the last at another age",
        crashes: [early(RareLossPerMs), early(RareLossPerMs), crashAt(800, 900, RareLossPerMs)],
        count: 1,
        isConclusive: false,
    },
    {
        name: "ages that overlap in part",
        crashes: [crashAt(0, 2_000, RareLossPerMs), crashAt(600, 2_200, RareLossPerMs)],
        count: 2,
        isConclusive: false,
    },
];

// Guards against sound tasks that are given up for crashes with other causes, and against tasks that crash workers without
// a limit.
for (const { name, crashes, count, isConclusive } of cases) {
    t.test(`crashes: ${name}`, t => {
        const evidence = evidenceOf(crashes);
        t.equal(evidence.count, count);
        t.equal(evidence.isConclusive(false), isConclusive);
        t.end();
    });
}

// Guards against a task that exceeds its limit because owners have ended before they noticed its crashes.
t.test("less evidence is enough where crashes may not have been noticed", t => {
    const evidence = evidenceOf(Array.from({ length: 3 }, () => early(FrequentLossPerMs)));
    t.notOk(evidence.isConclusive(false));
    t.ok(evidence.isConclusive(true));
    const two = evidenceOf([shared, shared]);
    t.notOk(two.isNearLimit(false));
    t.ok(two.isNearLimit(true));
    t.notOk(two.add(shared).isConclusive(true), "other losses explain them");
    t.end();
});

// Guards against an owner that forgets what the one before it had stored.
t.test("stored evidence is the same when it is read", t => {
    const evidence = evidenceOf([early(FrequentLossPerMs), early(FrequentLossPerMs)]);
    t.strictSame(CrashEvidence.create(evidence.fields), evidence);
    t.end();
});
