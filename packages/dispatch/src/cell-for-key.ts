import { rendezvousPick } from "@samphireward/core/rendezvous-pick";

/** Returns the cell of a job or worker id. Every process gets the same cell while the number of cells is unchanged. */
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
