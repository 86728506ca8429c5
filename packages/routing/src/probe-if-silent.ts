import { probeTarget } from "./probe-target.js";
import type { RequestContext } from "./request-context.js";
import type { RequestAttempt } from "./request-attempt.js";

/**
 * Probes the target of an attempt that has received nothing for `probeAfterMs`. If the target responds on a new
 * connection and the old one is still silent, closes the idle connections that have received nothing since the
 * attempt was sent, and calls `onSilent`. If the probe is slow too, the back end is slow and nothing is changed.
 */
export const probeIfSilent = (
    attempt: RequestAttempt,
    context: RequestContext,
    nowMs: number,
    onSilent: () => void,
): void => {
    const isSilent = (): boolean => !attempt.connection.hasReceivedSince(attempt.sentAtMs);
    const isDue = nowMs - attempt.sentAtMs >= context.settings.probeAfterMs;
    if (!isDue || !isSilent() || attempt.isProbed || attempt.target.isProbing) {
        return;
    }
    attempt.isProbed = true;
    context.counters.add("connections.probes");
    probeTarget(attempt.target, context.settings, isAnswered => {
        if (isAnswered && isSilent()) {
            context.counters.add("connections.silent");
            attempt.target.connections.closeSilentSince(attempt.sentAtMs);
            onSilent();
        }
    });
};
