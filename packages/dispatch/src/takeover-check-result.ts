/** Result of asking the other processes whether a cell has another owner. */
export const TakeoverCheckResult = {
    /** Another process owns the cell. */
    Superseded: "superseded",
    /** No process had taken over when the check was sent. */
    StillOwner: "still-owner",
    /** Too few processes answered to tell. */
    Unknown: "unknown",
} as const;

export type TakeoverCheckResult = (typeof TakeoverCheckResult)[keyof typeof TakeoverCheckResult];
