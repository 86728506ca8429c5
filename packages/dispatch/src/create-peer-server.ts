import { CodedError } from "@samphireward/core/coded-error";
import { describeError } from "@samphireward/core/describe-error";
import type { JsonRequest } from "@samphireward/core/json-request";
import { JsonServer } from "@samphireward/core/json-server";
import type { RefusalReason } from "@samphireward/core/refusal-reason";
import type { PauseDetector } from "@samphireward/core/pause-detector";
import { ResultCode } from "@samphireward/core/result-code";
import type { ServerLimits } from "@samphireward/core/server-limits";
import { checkJob } from "@samphireward/jobs/check-job";
import type { JobSpec } from "@samphireward/jobs/job-spec";
import type { CellDirectory } from "./cell-directory.js";
import type { CellOwner } from "./cell-owner.js";
import type { EpochReporter } from "./epoch-reporter.js";
import type { EventLog } from "./event-log.js";
import { isObject } from "./is-object.js";
import { jobCodec } from "./job-codec.js";
import type { JobWriter } from "./job-writer.js";
import type { PlacementExplainer } from "./placement-explainer.js";
import { SubmitOutcome } from "./submit-outcome.js";

/** Time for which a job is written on behalf of another process, in milliseconds. */
const AcceptTimeoutMs = 1_000;

/** Creates the server for calls between processes of the system, most of which concern cells that this process owns. */
export const createPeerServer = (
    cells: CellDirectory,
    writer: JobWriter,
    epochs: EpochReporter,
    explainer: PlacementExplainer,
    pauses: PauseDetector,
    log: EventLog,
    limits?: ServerLimits,
    onRefused?: (reason: RefusalReason) => void,
): JsonServer => {
    const ownerOf = (req: JsonRequest): CellOwner => {
        const owner = cells.get(Number(req.params["cell"]))?.owner;
        if (owner === undefined) {
            throw CodedError.create(
                ResultCode.NoCellOwner,
                `This process does not own cell ${req.params["cell"]}`,
            );
        }
        return owner;
    };
    /** The job whose stored text is the body of a request; throws if it is none of the named cell. */
    const jobOf = (req: JsonRequest): { readonly spec: JobSpec; readonly text: string } => {
        const { text } = isObject(req.body) ? req.body : {};
        const id = req.params["id"] ?? "";
        const cell = cells.cellNumber(id);
        const spec = typeof text === "string" ? jobCodec.decodeJob(text) : undefined;
        if (typeof text !== "string" || spec?.id !== id || String(cell) !== req.params["cell"]) {
            throw CodedError.create(ResultCode.BadRequest, `Expected the text of job ${id} of its cell`);
        }
        return { spec, text };
    };
    return JsonServer.create(
        () => true,
        (err, req) =>
            log.write("peer-request-failed", {
                method: req.method,
                path: req.url,
                reason: describeError(err),
            }),
        limits,
        onRefused,
    )
        .on("GET", "/cells/:cell/jobs/:id", req => ({
            status: 200,
            body: ownerOf(req).scheduler.jobs.get(req.params["id"] ?? "")?.status ?? {},
        }))
        .on("GET", "/cells/:cell/queues/:queue", req => ({
            status: 200,
            body: { waiting: ownerOf(req).scheduler.jobs.countUnstarted(req.params["queue"] ?? "") },
        }))
        .on("GET", "/cells/:cell/epoch", async req => ({
            status: 200,
            body: await epochs.report(Number(req.params["cell"])),
        }))
        .on("POST", "/cells/:cell/explain", req =>
            explainer.answerAsOwner(Number(req.params["cell"]), req.body),
        )
        .on("POST", "/explain", req => explainer.answer(req.body))
        .on("POST", "/cells/:cell/jobs/:id/cancelled", req => {
            ownerOf(req).jobCancelled(req.params["id"] ?? "");
            return { status: 200, body: {} };
        })
        .on("POST", "/cells/:cell/jobs/:id/accept", async req => {
            const { spec, text } = jobOf(req);
            const deadlineMs = pauses.earliestArrivalMs() + AcceptTimeoutMs;
            const outcome = await writer.accept(Number(req.params["cell"]), spec.id, text, deadlineMs);
            // Earlier builds do not know the outcome of a cancelled job.
            const body =
                outcome === SubmitOutcome.Cancelled
                    ? { outcome: SubmitOutcome.NotAccepted, isCancelled: true }
                    : { outcome };
            return { status: 200, body };
        })
        .on("POST", "/cells/:cell/jobs/:id/estimate", req => {
            const { spec } = jobOf(req);
            const problem = checkJob(spec);
            if (problem !== undefined) {
                throw CodedError.create(ResultCode.BadRequest, problem);
            }
            return { status: 200, body: ownerOf(req).scheduler.admission.estimate(spec) ?? {} };
        });
};
