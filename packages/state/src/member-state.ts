/** How recently a process was heard of. Only a hint for routing, never a basis for ownership. */
export const MemberState = { Alive: "alive", Suspected: "suspected", Gone: "gone" } as const;

export type MemberState = (typeof MemberState)[keyof typeof MemberState];
