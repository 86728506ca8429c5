import type { RequestSettings } from "./request-settings.js";

/** Default settings, for latency-critical requests with deadlines between 0.5 s and 5 s. */
export const defaultRequestSettings: RequestSettings = {
    // The round trip to the other region takes 40 ms, and a lost SYN packet is retransmitted after at most 1 s.
    connectTimeoutMs: 1_200,
    validatedMs: 1_000,
    idleMs: 4_000,
    probeAfterMs: 200,
    probeTimeoutMs: 100,
    maxAttempts: 3,
    retryShare: 0.1,
    maxHeaderBytes: 16_384,
    heldAnswerBytes: 16_384,
    maxBodiesBytes: 33_554_432,
    maxRequests: 4_000,
    callerFlushMs: 10_000,
    callerIdleMs: 60_000,
};
