import { WorkClass } from "@samphireward/core/work-class";
import { isQueuedBefore } from "@samphireward/placement/is-queued-before";
import type { QueuedTask } from "@samphireward/placement/queued-task";
import type { QuotaTracker } from "@samphireward/placement/quota-tracker";
import type { TaskQueue } from "@samphireward/placement/task-queue";
import type { PlacementPreview } from "./placement-preview.js";
import type { TaskRecord } from "./task-record.js";
import type { WorkerChooser } from "./worker-chooser.js";
import type { WorkerEntry } from "./worker-entry.js";

/** Most queued tasks that one preview looks at. */
const MaxTasks = 10_000;
/** Most tasks ahead for which a worker is looked for: each costs as much as a placement. */
const MaxPlacedTasks = 16;

/** The parts of the placer that a preview reads. */
interface PreviewContext {
    readonly queue: TaskQueue;
    readonly quotas: QuotaTracker | undefined;
    readonly chooser: WorkerChooser;
    readonly task: (key: string) => TaskRecord | undefined;
}

/** The worker on which a task could start now, whatever else waits; otherwise the reason why none can take it. */
const chooseWorker = (
    task: QueuedTask,
    record: TaskRecord,
    { quotas, chooser }: PreviewContext,
): { readonly worker?: WorkerEntry; readonly reason: string } => {
    const quota = quotas?.check(task.team, task.resources, task.workClass);
    if (quota?.isErr() === true) {
        return { reason: quota.error };
    }
    const choice = chooser.choose(task, record, undefined);
    const worker = choice.unwrapOr(undefined);
    if (worker !== undefined) {
        return { worker, reason: "" };
    }
    const reason = choice.isErr() ? choice.error : "no open worker has enough free capacity";
    const mayPreempt = task.workClass === WorkClass.LatencyCritical;
    return { reason: mayPreempt ? `${reason}; batch tasks may be evicted for it` : reason };
};

const countAhead = (
    queue: TaskQueue,
    task: QueuedTask,
): Pick<PlacementPreview, "tasksAhead" | "processorMsAhead" | "isPartial"> => {
    let looked = 0;
    let tasksAhead = 0;
    let processorMsAhead = 0;
    for (const other of queue.values()) {
        if (++looked > MaxTasks) {
            return { tasksAhead, processorMsAhead, isPartial: true };
        }
        if (isQueuedBefore(other, task)) {
            tasksAhead++;
            processorMsAhead += other.resources.processors * other.expectedRunMs;
        }
    }
    return { tasksAhead, processorMsAhead, isPartial: false };
};

/** Previews the placement of a task that is not queued, by the queue's order and the chooser of the placement rounds. */
export const previewPlacement = (
    task: QueuedTask,
    record: TaskRecord,
    context: PreviewContext,
    nowMs: number,
): PlacementPreview => {
    const { queue } = context;
    const startable = queue
        .candidates(nowMs)
        .filter(head => isQueuedBefore(head, task))
        .slice(0, MaxPlacedTasks)
        .filter(head => {
            const headRecord = context.task(head.key);
            return headRecord !== undefined && chooseWorker(head, headRecord, context).worker !== undefined;
        });
    const shared = {
        ...countAhead(queue, task),
        waitingTasks: queue.size,
        startableAhead: startable.length,
    };
    const like = queue.firstLike(task);
    if (like !== undefined && !startable.some(({ key }) => key === like.key)) {
        return { ...shared, reason: `waits for its turn behind ${like.key}, a task of its kind` };
    }
    if (!queue.mayStart(task, nowMs)) {
        return {
            ...shared,
            reason: "waits for its turn behind a task that has waited too long for capacity",
        };
    }
    return { ...shared, ...chooseWorker(task, record, context) };
};
