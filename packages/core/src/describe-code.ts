import type { ResultCodeInfo } from "./result-code-info.js";
import { resultCodeTable } from "./result-code-table.js";
import type { ResultCode } from "./result-code.js";

/** Returns the table row of a result code. Throws a `RangeError` for a number that is not in the table. */
export const describeCode = (code: ResultCode): ResultCodeInfo => {
    const info = resultCodeTable.get(code);
    if (info === undefined) {
        throw new RangeError(`Result code ${code} is not in the table`);
    }
    return info;
};
