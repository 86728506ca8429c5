import type { Clock } from "@samphireward/core/clock";
import { CodedError } from "@samphireward/core/coded-error";
import { explainPauseMs } from "@samphireward/core/explain-pause-ms";
import type { JsonResponse } from "@samphireward/core/json-response";
import { ResultCode } from "@samphireward/core/result-code";
import { checkJob } from "@samphireward/jobs/check-job";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { PlacementExplanation } from "@samphireward/jobs/placement-explanation";
import { PlacementOutcome } from "@samphireward/jobs/placement-outcome";
import type { CellDirectory } from "./cell-directory.js";
import type { CellOwner } from "./cell-owner.js";
import type { DecodeSubmission } from "./decode-submission.js";
import { isObject } from "./is-object.js";
import type { PeerClient } from "./peer-client.js";
import type { PlacementQuestion } from "./placement-question.js";

/** Dependencies of the explainer. */
interface ExplainerContext {
    readonly cells: CellDirectory;
    readonly peers: Pick<PeerClient, "explain">;
    readonly clock: Clock;
    readonly decodeSubmission: DecodeSubmission;
    /** Whether jobs are refused whose results could not be of use; absent if not. */
    readonly refusesHopeless?: boolean | undefined;
    /** Largest body of a job that callers may send, in bytes; undefined before the configuration is known. */
    readonly maxBodyBytes: () => number | undefined;
}

const fail = (code: ResultCode, message: string): never => {
    throw CodedError.create(code, message);
};

/** Answers operators who ask where a job would be placed: as the owner of its cell, or with the help of the owner. */
export class PlacementExplainer {
    private readonly lastAnswerMs = new Map<number, number>();

    private constructor(private readonly context: ExplainerContext) {}

    static create(context: ExplainerContext): PlacementExplainer {
        return new PlacementExplainer(context);
    }

    /** Answers a question that any process may be asked. Throws a `CodedError`. */
    async answer(body: unknown): Promise<JsonResponse> {
        const question = this.read(body);
        const { cells, peers } = this.context;
        const cell = cells.cellNumber(question.id);
        const candidate = cell === undefined ? undefined : cells.get(cell);
        if (cell === undefined || candidate === undefined) {
            return fail(ResultCode.NoCellOwner, "This process does not know the number of cells yet");
        }
        if (candidate.isClaimed) {
            return this.answerAsOwner(cell, question);
        }
        const address = candidate.ownerRecord?.address;
        if (address === undefined) {
            return fail(ResultCode.NoCellOwner, `No process owns cell ${cell} now`);
        }
        const response = await peers.explain(address, cell, question);
        const { status, body: answered } = response.unwrapOr({ status: 0, body: undefined });
        if (isObject(answered) && answered["code"] !== undefined) {
            return { status, body: answered };
        }
        // An older build does not know the question, and answers 404 without a code.
        const reason = response.isErr() ? response.error : `status ${status}`;
        const message = `The owner of cell ${cell} at ${address} did not answer: ${reason}`;
        return fail(ResultCode.CellOwnerUnreachable, message);
    }

    /** Answers a question as the owner of the job's cell. Throws a `CodedError`. */
    answerAsOwner(cell: number, body: unknown): JsonResponse {
        const { cells, clock, decodeSubmission } = this.context;
        const { id, queue, text } = this.read(body);
        const candidate = cells.get(cell);
        if (candidate?.isClaimed !== true) {
            return fail(ResultCode.NoCellOwner, `This process does not own cell ${cell}`);
        }
        const { owner } = candidate;
        if (owner === undefined) {
            return fail(ResultCode.CellOwnerNotReady, `The owner of cell ${cell} reads its state`);
        }
        if (cells.cellNumber(id) !== cell) {
            return fail(ResultCode.BadRequest, `Expected a job of cell ${cell}, got job ${id}`);
        }
        const nowMs = clock.nowMs();
        if (nowMs < (this.lastAnswerMs.get(cell) ?? -Infinity) + explainPauseMs) {
            return fail(
                ResultCode.CellOwnerBusy,
                `The owner of cell ${cell} answers once in ${explainPauseMs} ms`,
            );
        }
        this.lastAnswerMs.set(cell, nowMs);
        const decoded = decodeSubmission(id, queue, text, clock.wallMs());
        const spec = decoded.isOk() ? decoded.value : fail(ResultCode.BadRequest, decoded.unwrapErr());
        const problem = checkJob(spec);
        if (problem !== undefined) {
            return fail(ResultCode.BadRequest, problem);
        }
        const explanation = owner.scheduler.explainPlacement(spec);
        return explanation === undefined
            ? fail(ResultCode.UnknownRoute, `No queue "${queue}" is configured`)
            : {
                  status: 200,
                  body: { code: ResultCode.Answered, cell, ...this.withRefusal(explanation, spec, owner) },
              };
    }

    /** What is explained of a job that would be refused: where it stands, but no start. */
    private withRefusal(
        explanation: PlacementExplanation,
        spec: JobSpec,
        { scheduler }: CellOwner,
    ): PlacementExplanation {
        const isHopeless =
            this.context.refusesHopeless === true && scheduler.admission.estimate(spec)?.isUseful === false;
        if (!isHopeless) {
            return explanation;
        }
        const { job, queue, step, ahead, workers } = explanation;
        const reason = "the result could not be there while it is of use";
        return {
            job,
            outcome: PlacementOutcome.Refused,
            reason,
            queue,
            ...(step === undefined ? {} : { step }),
            ahead,
            workers,
        };
    }

    private read(body: unknown): PlacementQuestion {
        const { id, queue, text } = isObject(body) ? body : {};
        if (typeof id !== "string" || typeof queue !== "string" || typeof text !== "string") {
            return fail(ResultCode.BadRequest, "Expected id, queue and text, the body of the job's request");
        }
        const maxBytes = this.context.maxBodyBytes();
        if (maxBytes === undefined) {
            return fail(ResultCode.CellOwnerNotReady, "This process has no configuration yet");
        }
        return Buffer.byteLength(text) <= maxBytes
            ? { id, queue, text }
            : fail(ResultCode.RequestTooLarge, `The job exceeds ${maxBytes} bytes`);
    }
}
