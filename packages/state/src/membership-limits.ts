/** Constants of membership. */
export const MembershipLimits = {
    roundIntervalMs: 1000,
    /** Number of peers that each round exchanges with. */
    peersPerRound: 2,
    /** Most other members in one message. */
    maxMembersPerMessage: 32,
    suspectedAfterMs: 3000,
    goneAfterMs: 10_000,
    /** A member without updates is kept this long, so that a delayed message does not add it again as a new one. */
    removeAfterMs: 600_000,
    /** Rounds between exchanges with a gone member or a seed, which heal a network partition. */
    healIntervalRounds: 5,
    /** A longer time between two rounds means that this process was paused. */
    pauseThresholdMs: 2000,
    /** Interval between reads of the registrations while a member is suspected or no other one is alive. */
    registrationReadIntervalMs: 5000,
    /** Interval otherwise: with 134 processes a read is about 35 KB, and a node has 19 KB/s for all control traffic. */
    stableRegistrationReadIntervalMs: 30_000,
} as const;
