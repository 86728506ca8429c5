import { Outcome } from "./outcome.js";
import type { ResultCodeInfo } from "./result-code-info.js";
import { ResultCode } from "./result-code.js";

/** Exit codes of the command line for each outcome; 1 is reserved for uncaught errors. */
const ExitCode = {
    Ok: 0,
    NotRun: 2,
    MayHaveRun: 3,
    Cancelled: 4,
    Invalid: 5,
    Conflict: 6,
    NotInForce: 7,
    Usage: 64,
} as const;

type Row = readonly [httpStatus: number, meaning: string];

const answered: Partial<Record<keyof typeof ResultCode, Row>> = {
    Answered: [200, "The target's answer, whole."],
    TaskAccepted: [202, "The task is recorded and will run."],
    TaskAlreadyAccepted: [200, "A task with this key was accepted earlier; its state is returned."],
    TablesApplied: [200, "The tables are recorded under a new revision."],
};

const notRun: Partial<Record<keyof typeof ResultCode, Row>> = {
    UnknownRoute: [404, "No route matches the path."],
    BadRequest: [400, "The request is malformed."],
    QueueFull: [503, "The route's queue is full."],
    DeadlinePassedInQueue: [504, "The deadline passed before the request was sent."],
    StoreUnavailable: [503, "The store cannot record the submission."],
    NoTargetReachable: [503, "No target of the pool accepted a connection."],
    RequestTooLarge: [413, "The request body or its headers exceed the route's limit."],
    NoCellOwner: [503, "No scheduler owns the task's cell now."],
    ShuttingDown: [503, "The process is shutting down."],
    RetryBudgetEmpty: [503, "The target refused and the retry budget is used up."],
    KeyOwnerUnreachable: [503, "The entry process that owns the request key cannot be reached."],
    Unauthorized: [401, "The administration port requires a valid token."],
    LinkBudgetExceeded: [503, "The link between the regions has no bandwidth left for this request."],
    TargetRefused: [503, "The target said that it did not run the request."],
    KeyAlreadyUsed: [409, "A request with this key was sent before; it is not sent twice."],
    CellOwnerUnreachable: [503, "The owner of the cell did not answer a question, which changes nothing."],
    CellOwnerNotReady: [503, "The owner of the cell has not read the cell's state yet."],
    CellOwnerBusy: [503, "The owner of the cell has just answered another question."],
    TaskFitsNoWorker: [422, "The task needs more than any worker of its pool has."],
    TaskFailedEverywhere: [422, "The task failed on, or crashed, the allowed number of workers."],
    QuotaExceeded: [429, "The task alone exceeds its team's quota."],
    TaskUnknown: [404, "No task with this key is known."],
    StaleEpoch: [409, "A newer owner has taken the cell."],
    StaleAttempt: [409, "The attempt number is not the current one."],
    CapacityExceeded: [507, "The worker's processors, memory or accelerators would be exceeded."],
};

const mayHaveRun: Partial<Record<keyof typeof ResultCode, Row>> = {
    DeadlinePassed: [504, "The deadline passed after the request was sent."],
    ConnectionLost: [502, "The connection was lost after the request was sent."],
    AnswerTruncated: [502, "The answer ended early; the caller's connection is closed."],
    AnswerMalformed: [502, "The answer is not valid HTTP."],
    AnswerTooLarge: [502, "The answer's headers exceed the limit."],
    OwnerUnreachable: [504, "The submission was sent, but its owner did not answer."],
    InternalError: [500, "An unexpected error occurred while the request was handled."],
};

const cancelled: Partial<Record<keyof typeof ResultCode, Row>> = {
    CallerGone: [499, "The caller closed its connection."],
    TaskCancelled: [200, "The task is cancelled."],
};

const operator: Partial<Record<keyof typeof ResultCode, readonly [...Row, exitCode: number]>> = {
    SettingsInvalid: [500, "A settings file is invalid.", ExitCode.Invalid],
    TablesInvalid: [422, "The tables are invalid; each problem is listed.", ExitCode.Invalid],
    ConfigConflict: [409, "Another change was applied first; it is shown.", ExitCode.Conflict],
    ConfigNotInForce: [
        504,
        "Some processes do not yet run the revision; they are named.",
        ExitCode.NotInForce,
    ],
    UsageError: [400, "The command line is invalid.", ExitCode.Usage],
};

const buildRows = (
    rows: Partial<Record<keyof typeof ResultCode, Row>>,
    outcome: Outcome,
    exitCode: number,
): ResultCodeInfo[] =>
    Object.entries(rows).map(([name, [httpStatus, meaning]]) => {
        const key = name as keyof typeof ResultCode;
        return { code: ResultCode[key], name: key, outcome, httpStatus, exitCode, meaning };
    });

const buildOperatorRows = (): ResultCodeInfo[] =>
    Object.entries(operator).map(([name, [httpStatus, meaning, exitCode]]) => {
        const key = name as keyof typeof ResultCode;
        return { code: ResultCode[key], name: key, outcome: undefined, httpStatus, exitCode, meaning };
    });

/** Every result code with its outcome, HTTP status and exit code. */
export const resultCodeTable: ReadonlyMap<ResultCode, ResultCodeInfo> = new Map(
    [
        ...buildRows(answered, Outcome.Answered, ExitCode.Ok),
        ...buildRows(notRun, Outcome.NotRun, ExitCode.NotRun),
        ...buildRows(mayHaveRun, Outcome.MayHaveRun, ExitCode.MayHaveRun),
        ...buildRows(cancelled, Outcome.Cancelled, ExitCode.Cancelled),
        ...buildOperatorRows(),
    ].map(info => [info.code, info]),
);
