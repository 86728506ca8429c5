import type { TableProblem } from "@samphireward/core/table-problem";

/** One line for each problem: file, key and what is expected. */
export const formatProblems = (problems: readonly TableProblem[]): string =>
    problems
        .map(problem => `${problem.file}${problem.key === "" ? "" : ` ${problem.key}`}: ${problem.message}`)
        .join("\n");
