/** Error of a commit: another process owns the cell by now. */
export const LostOwnership = "lost-ownership";
