import { CodedError } from "@samphireward/core/coded-error";
import type { JsonResponse } from "@samphireward/core/json-response";
import { ManualClock } from "@samphireward/core/manual-clock";
import { ResultCode } from "@samphireward/core/result-code";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import t from "tap";
import type { CellCandidate } from "../src/cell-candidate.js";
import { CellDirectory } from "../src/cell-directory.js";
import { PlacementExplainer } from "../src/placement-explainer.js";
import { oneTaskJob } from "./one-task-job.js";

const { id, queue } = oneTaskJob;
const question = { id, queue, text: "{}" };
const explanation = { job: id };

/** The parts of a candidate that an explanation uses. */
interface FakeCandidate {
    readonly isClaimed: boolean;
    readonly owner?: {
        readonly scheduler: {
            readonly explainPlacement: (spec: JobSpec) => unknown;
            readonly admission?: unknown;
        };
    };
    readonly ownerRecord?: { readonly address: string };
}

const ownerOf = (result: unknown): FakeCandidate => ({
    isClaimed: true,
    owner: { scheduler: { explainPlacement: () => result } },
});
const elsewhere: FakeCandidate = { isClaimed: false, ownerRecord: { address: "127.0.0.1:9" } };

const createExplainer = (
    candidate: FakeCandidate | undefined,
    peerAnswer: Result<JsonResponse, string> = Err("refused"),
    refusesHopeless = false,
): { explainer: PlacementExplainer; clock: ManualClock } => {
    const cells = CellDirectory.create();
    cells.set(candidate === undefined ? [] : [candidate as unknown as CellCandidate]);
    const clock = ManualClock.create(1_000);
    const explainer = PlacementExplainer.create({
        cells,
        peers: { explain: () => Promise.resolve(peerAnswer) },
        clock,
        decodeSubmission: (_id, _queue, text) => (text === "{}" ? Ok(oneTaskJob) : Err("steps: missing")),
        refusesHopeless,
        maxBodyBytes: () => 1_000,
    });
    return { explainer, clock };
};

const codeOf = async (explainer: PlacementExplainer, body: unknown): Promise<unknown> => {
    try {
        return ((await explainer.answer(body)).body as { readonly code: unknown }).code;
    } catch (err) {
        return err instanceof CodedError ? err.code : err;
    }
};

const answered = Ok({ status: 200, body: { code: ResultCode.Answered } });
const refused = Ok({ status: 503, body: { code: ResultCode.CellOwnerNotReady } });
const unknownCall = Ok({ status: 404, body: { message: "No such call" } });

const cases: [name: string, candidate: FakeCandidate | undefined, body: unknown, code: ResultCode][] = [
    ["the owner answers", ownerOf(explanation), question, ResultCode.Answered],
    ["cells not known", undefined, question, ResultCode.NoCellOwner],
    ["no owner", { isClaimed: false }, question, ResultCode.NoCellOwner],
    ["an owner that reads its state", { isClaimed: true }, question, ResultCode.CellOwnerNotReady],
    ["an owner out of reach", elsewhere, question, ResultCode.CellOwnerUnreachable],
    ["unknown queue", ownerOf(undefined), question, ResultCode.UnknownRoute],
    ["malformed job", ownerOf(explanation), { ...question, text: "[]" }, ResultCode.BadRequest],
    ["no question", ownerOf(explanation), { id: 5 }, ResultCode.BadRequest],
    ["no body", ownerOf(explanation), undefined, ResultCode.BadRequest],
    [
        "a long job",
        ownerOf(explanation),
        { ...question, text: "x".repeat(1_001) },
        ResultCode.RequestTooLarge,
    ],
];

// Guards against an operator who cannot tell why there is no explanation.
t.test("each failure to explain has a code of its own", async t => {
    for (const [name, candidate, body, code] of cases) {
        t.equal(await codeOf(createExplainer(candidate).explainer, body), code, name);
    }
});

// Guards against a refusal of the owner that is taken for an unreachable owner, and against an owner of an older build whose
// answer is taken for an explanation.
t.test("the answer of another owner is passed on", async t => {
    const codeFor = (answer: Result<JsonResponse, string>): Promise<unknown> =>
        codeOf(createExplainer(elsewhere, answer).explainer, question);
    t.equal(await codeFor(answered), ResultCode.Answered);
    t.equal(await codeFor(refused), ResultCode.CellOwnerNotReady);
    t.equal(await codeFor(unknownCall), ResultCode.CellOwnerUnreachable);
});

// Guards against questions that take the owner's thread from its plans.
t.test("an owner answers one question at a time, with a pause", async t => {
    const { explainer, clock } = createExplainer(ownerOf(explanation));
    t.equal(await codeOf(explainer, question), ResultCode.Answered);
    t.equal(await codeOf(explainer, question), ResultCode.CellOwnerBusy);
    clock.advance(250);
    t.equal(await codeOf(explainer, question), ResultCode.Answered);
});

// Guards against a start that is shown for a job that would be refused.
t.test("a job that would be refused is explained as refused, if jobs are refused", async t => {
    const cases: readonly [refusesHopeless: boolean, isUseful: boolean | undefined, outcome: string][] = [
        [true, false, "refused"],
        [true, true, "waits"],
        [true, undefined, "waits"],
        [false, false, "waits"],
    ];
    for (const [refusesHopeless, isUseful, outcome] of cases) {
        const scheduler = {
            explainPlacement: () => ({ job: id, outcome: "waits", expectedStartMs: 5 }),
            admission: { estimate: () => (isUseful === undefined ? undefined : { isUseful }) },
        };
        const candidate = { isClaimed: true, owner: { scheduler } };
        const { explainer } = createExplainer(candidate, undefined, refusesHopeless);
        const { body } = await explainer.answer(question);
        t.match(body, { outcome, expectedStartMs: outcome === "refused" ? undefined : 5 });
    }
});
