import type { TableProblem } from "@samphireward/core/table-problem";

/** Formats one line for each problem: file, key and message. */
export const formatProblems = (problems: readonly TableProblem[]): string =>
    problems
        .map(problem => `${problem.file}${problem.key === "" ? "" : ` ${problem.key}`}: ${problem.message}`)
        .join("\n");
