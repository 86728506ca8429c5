import { createHash } from "node:crypto";

const weight = (cell: number, node: string): string =>
    createHash("sha256").update(`${node}\0${cell}`).digest("hex");

/** Rank of a cell in a node's order of preference, from 0 for the first to 1 for the last; 0 if there is only one. */
export const rankOfCell = (cell: number, count: number, node: string): number => {
    if (count <= 1) {
        return 0;
    }
    const own = weight(cell, node);
    let before = 0;
    for (let other = 0; other < count; other++) {
        before += other !== cell && weight(other, node) < own ? 1 : 0;
    }
    return before / (count - 1);
};
