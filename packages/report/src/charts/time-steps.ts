const StepMs = 60_000;

/** Ends of the minutes from the start of the data to the newest reading. */
export const timeSteps = (startMs: number, endMs: number): number[] => {
    const count = Math.floor((endMs - startMs) / StepMs);
    return Array.from({ length: count }, (_, index) => endMs - (count - 1 - index) * StepMs);
};
