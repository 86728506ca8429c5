/** Constants of membership. */
export const MembershipLimits = {
    roundMs: 1000,
    /** Peers that one round exchanges with. */
    fanOut: 2,
    /** Most others in one message. */
    digest: 32,
    suspectedAfterMs: 3000,
    goneAfterMs: 10_000,
    /** A gone member is remembered this long, so that a late digest does not bring it back as new. */
    forgetAfterMs: 600_000,
    /** Every so many rounds one exchange goes to a gone member or a seed, to heal a partition. */
    healEveryRounds: 5,
    /** A longer time between two rounds means that this process itself was paused. */
    pauseMs: 2000,
    /** Period of reading the registrations while some member is suspected or none is known. */
    registrationMs: 5000,
    /** Period otherwise: at 134 processes one read is about 35 KB, and a node has 19 KB/s for all control traffic. */
    quietRegistrationMs: 30_000,
} as const;
