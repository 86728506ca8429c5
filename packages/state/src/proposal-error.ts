import type { ConfigDocument } from "@samphireward/core/config-document";
import type { ResultCode } from "@samphireward/core/result-code";
import type { TableProblem } from "@samphireward/core/table-problem";

/**
 * A proposal that was not accepted: `TablesInvalid` with problems, `ConfigConflict` with the current document,
 * `StoreUnavailable` when certainly nothing was written, `ConnectionLost` when it may have been.
 */
export interface ProposalError {
    readonly code: ResultCode;
    readonly message: string;
    readonly problems?: readonly TableProblem[];
    readonly current?: ConfigDocument | undefined;
}
