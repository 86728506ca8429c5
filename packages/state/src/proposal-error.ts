import type { ConfigDocument } from "@samphireward/core/config-document";
import type { ResultCode } from "@samphireward/core/result-code";
import type { TableProblem } from "@samphireward/core/table-problem";

/**
 * Error of a proposal: `TablesInvalid` with problems, `ConfigConflict` with the current document, if any,
 * `StoreUnavailable` when certainly nothing was written, `ConnectionLost` when the change may have been written.
 */
export interface ProposalError {
    readonly code: ResultCode;
    readonly message: string;
    readonly problems?: readonly TableProblem[];
    readonly current?: ConfigDocument | undefined;
}
