import { CodedError } from "@samphireward/core/coded-error";
import { explainPauseMs } from "@samphireward/core/explain-pause-ms";
import { ResultCode } from "@samphireward/core/result-code";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { explainTask } from "./explain-task.js";
import type { OwnerCore } from "./owner-core.js";
import type { TaskExplanation } from "./task-explanation.js";

const fail = (code: ResultCode, message: string): Result<never, CodedError> =>
    Err(CodedError.create(code, message));

/** Answers operators who ask the owner of a cell where a task would be placed, one question at a time. */
export class TaskExplainer {
    private answeredAtMs = -Infinity;

    private constructor(private readonly core: OwnerCore) {}

    static create(core: OwnerCore): TaskExplainer {
        return new TaskExplainer(core);
    }

    /** `findRefusal` returns the error that the submission of the task would get. */
    explain(spec: TaskSpec, findRefusal: () => CodedError | undefined): Result<TaskExplanation, CodedError> {
        const { isActive, workers, options } = this.core;
        if (!isActive) {
            return fail(ResultCode.NoCellOwner, "This scheduler does not own the cell");
        }
        if (!workers.hasListedWorkers) {
            return fail(ResultCode.CellOwnerNotReady, "The directory lists no worker of the cell yet");
        }
        const nowMs = options.clock.nowMs();
        if (nowMs < this.answeredAtMs + explainPauseMs) {
            return fail(
                ResultCode.CellOwnerBusy,
                `The owner of the cell answers once in ${explainPauseMs} ms`,
            );
        }
        this.answeredAtMs = nowMs;
        return Ok(explainTask(this.core, spec, findRefusal()));
    }
}
