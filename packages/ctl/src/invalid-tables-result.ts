import { ResultCode } from "@samphireward/core/result-code";
import type { TableProblem } from "@samphireward/core/table-problem";
import type { CommandResult } from "./command-result.js";
import { formatProblems } from "./format-problems.js";

/** Creates the result of a command that was given invalid tables. */
export const invalidTablesResult = (problems: readonly TableProblem[]): CommandResult => ({
    code: ResultCode.TablesInvalid,
    json: { problems },
    text: `The tables are invalid (${problems.length} problems):\n${formatProblems(problems)}`,
});
