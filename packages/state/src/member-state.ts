/** Liveness of a process, by the age of its last update. A hint for routing only, never a basis for ownership. */
export const MemberState = { Alive: "alive", Suspected: "suspected", Gone: "gone" } as const;

export type MemberState = (typeof MemberState)[keyof typeof MemberState];
