import type { TaskName } from "./task-name.js";

const Pattern = /^([^.]+)\.(\d{1,9})\.(\d{1,6})\.(\d{1,6})$/;

/** Parses `job.occurrence.step.index`; undefined for any other text. */
export const parseTaskName = (text: string): TaskName | undefined => {
    const match = Pattern.exec(text);
    const job = match?.[1];
    if (job === undefined) {
        return undefined;
    }
    return { job, occurrence: Number(match?.[2]), step: Number(match?.[3]), index: Number(match?.[4]) };
};
