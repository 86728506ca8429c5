import { attemptId } from "./attempt-id.js";
import type { OwnerContext } from "./owner-context.js";
import type { WorkerClient } from "./worker-client.js";
import type { WorkerLink } from "./worker-link.js";

/**
 * Asks a worker that may have restarted for its epoch, before any command raises it again, and notes the attempts
 * that it has lost or kept. Nothing else is sent to the worker before the notes are durable.
 */
export const checkIncarnation = async (
    link: WorkerLink,
    client: WorkerClient,
    owner: OwnerContext,
): Promise<void> => {
    const { state, attempts } = link;
    const answer = await client.tasks();
    if (answer.isErr()) {
        state.handleCallError(answer.error);
        return;
    }
    if (!state.noteEpoch(answer.value.epoch)) {
        owner.lossRecorder.noteReturn(link);
        state.isIncarnationKnown = true;
        return;
    }
    state.markRestarted();
    state.isEpochAnnounced = false;
    state.requestInventory();
    const running = new Set(answer.value.tasks.map(attemptId));
    const lost = [...attempts.values()].filter(attempt => !running.has(attempt.id));
    state.isIncarnationKnown = await owner.lossRecorder.noteRestart(link, lost);
};
