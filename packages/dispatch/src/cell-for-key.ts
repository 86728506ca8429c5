import { rendezvousPick } from "@samphireward/core/rendezvous-pick";

/** The cell of a job or a worker: the same one for every process, as long as the number of cells stays. */
export const cellForKey = (key: string, cellCount: number): number => {
    if (cellCount <= 1) {
        return 0;
    }
    return Number(
        rendezvousPick(
            key,
            Array.from({ length: cellCount }, (_, index) => String(index)),
        ),
    );
};
