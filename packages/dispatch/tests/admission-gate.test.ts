import { ManualClock } from "@samphireward/core/manual-clock";
import { SeededRandom } from "@samphireward/core/seeded-random";
import type { EndEstimate } from "@samphireward/jobs/end-estimate";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import { AdmissionGate } from "../src/admission-gate.js";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { StoreFailure } from "../src/store-failure.js";
import { oneTaskJob } from "./one-task-job.js";

type Answer = Result<EndEstimate | undefined, string>;
type Stored = Awaited<ReturnType<Parameters<typeof AdmissionGate.create>[0]["store"]["get"]>>;

const hopeless: EndEstimate = { isUseful: false, isScarce: true, usefulInMs: 8_000 };
const scarce: EndEstimate = { isUseful: true, isScarce: true, usefulInMs: 0 };
const idle: EndEstimate = { isUseful: true, isScarce: false, usefulInMs: 0 };
const notStored: Stored = Ok(undefined);

/** A gate whose cell has an owner elsewhere that gives one answer, and the number of questions that it got. */
const createGate = (
    answer: Answer,
    stored: Stored = notStored,
): { gate: AdmissionGate; clock: ManualClock; questions: () => number } => {
    const cells = CellDirectory.create();
    const ownerRecord = { address: "127.0.0.1:1" };
    cells.set([{ owner: undefined, ownerRecord } as unknown as CellCandidate]);
    const clock = ManualClock.create(10_000);
    let questions = 0;
    const endEstimate = (): Promise<Answer> => {
        questions++;
        return Promise.resolve(answer);
    };
    const store = { get: () => Promise.resolve(stored) };
    const random = SeededRandom.create(1);
    const gate = AdmissionGate.create({ cells, store, peers: { endEstimate }, clock, random });
    return { gate, clock, questions: () => questions };
};

const stored: Stored = Ok({ key: "k", value: "v", revision: 1 });
const accepted: readonly [failure: string, answer: Answer, stored?: Stored][] = [
    ["a useful job is refused", Ok(scarce)],
    ["a job is refused because the owner did not answer", Err("time-out")],
    ["a job is refused by an owner that cannot say", Ok(undefined)],
    ["a repeat of an accepted job is refused", Ok(hopeless), stored],
    ["a job that may be stored is refused", Ok(hopeless), Err(StoreFailure.Unknown)],
];

// Guards against a refusal where anything is unclear.
t.test("a job is accepted unless it is certainly hopeless and not stored", async t => {
    for (const [failure, answer, inStore] of accepted) {
        t.equal(await createGate(answer, inStore).gate.refuse(oneTaskJob), undefined, failure);
    }
    const { gate, questions } = createGate(Ok(hopeless));
    t.ok(await gate.refuse(oneTaskJob));
    t.equal(questions(), 1);
});

// Guards against refused callers who all return in the same second.
t.test("the time after which a refused caller may retry is spread", async t => {
    for (const usefulInMs of [1, 8_000, 1e9]) {
        const { gate } = createGate(Ok({ ...hopeless, usefulInMs }));
        const seconds = new Set<number>();
        for (let index = 0; index < 50; index++) {
            const retryMs = (await gate.refuse(oneTaskJob)) ?? 0;
            t.ok(retryMs >= Math.min(usefulInMs, 60_000) && retryMs <= 120_000);
            seconds.add(Math.ceil(retryMs / 1_000));
        }
        t.ok(seconds.size >= 4, `${usefulInMs}: ${[...seconds].join(" ")}`);
    }
});

// Guards against a question for each job while there is enough capacity, and against a wait for each while the owner is
// silent.
t.test("the owner is asked for each job only while it reports scarcity", async t => {
    const cases: readonly [answer: Answer, questions: number][] = [
        [Ok(scarce), 30],
        [Ok(idle), 2],
        [Err("time-out"), 1],
    ];
    for (const [answer, expected] of cases) {
        const { gate, clock, questions } = createGate(answer);
        for (let index = 0; index < 30; index++) {
            await gate.refuse(oneTaskJob);
            clock.advance(15);
        }
        t.equal(questions(), expected, JSON.stringify(answer));
    }
});

// Guards against lasting tasks after which the jobs of their queue are accepted without a question under overload.
t.test("the owner is not asked about jobs that cannot be too late", async t => {
    const { gate, questions } = createGate(Ok(idle));
    const [step] = oneTaskJob.steps;
    t.ok(step);
    const steps = step === undefined ? [] : [{ ...step, lasting: true }];
    t.equal(await gate.refuse({ ...oneTaskJob, steps }), undefined);
    t.equal(questions(), 0);
    await gate.refuse(oneTaskJob);
    t.equal(questions(), 1);
});
