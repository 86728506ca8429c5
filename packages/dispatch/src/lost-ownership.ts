/** Error of a commit: another process owns the cell now. */
export const LostOwnership = "lost-ownership";
