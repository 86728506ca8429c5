import { probeTarget } from "./probe-target.js";
import type { RequestContext } from "./request-context.js";
import type { RequestAttempt } from "./request-attempt.js";

/**
 * Probes the target of a send that has received nothing for the probe time. When the target answers on a new
 * connection and the old one is still silent, idle connections that are as old are closed and `onSilent` is
 * called. When the probe is slow too, the back end is slow and nothing is changed.
 */
export const probeIfSilent = (
    send: RequestAttempt,
    context: RequestContext,
    nowMs: number,
    onSilent: () => void,
): void => {
    const isSilent = (): boolean => !send.connection.hasReceivedSince(send.sentAtMs);
    const isDue = nowMs - send.sentAtMs >= context.settings.probeAfterMs;
    if (!isDue || !isSilent() || send.isProbed || send.target.isProbing) {
        return;
    }
    send.isProbed = true;
    context.counters.add("connections.probes");
    probeTarget(send.target, context.settings, isAnswered => {
        if (isAnswered && isSilent()) {
            context.counters.add("connections.silent");
            send.target.connections.closeSilentSince(send.sentAtMs);
            onSilent();
        }
    });
};
