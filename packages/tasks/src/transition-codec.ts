import { Resources } from "@samphireward/core/resources";
import type { TaskSpec } from "@samphireward/core/task-spec";
import type { LossVerdict } from "./loss-verdict.js";
import type { Transition } from "./transition.js";
import type { TransitionRow } from "./transition-row.js";
import type { WorkerMode } from "./worker-mode.js";

type Row = TransitionRow;

/**
 * Tags of the rows. A tag is never reused for another kind, because records of earlier versions are replayed. A
 * loss is a `Running` row with more columns, and giving a task up is a `Cancelled` row with one: earlier versions
 * refuse unknown tags but ignore additional columns, and by both readings the task has ended or has not.
 */
const Tag = {
    Accepted: 0,
    Starting: 1,
    Running: 2,
    Checkpointing: 3,
    Released: 4,
    Finished: 5,
    Failed: 6,
    Cancelled: 7,
    Forgotten: 8,
    WorkerMode: 9,
} as const;

/** Third column of a `Cancelled` row by which a waiting task ends as failed. */
const GivenUp = "given-up";

const specToRow = (spec: TaskSpec): Row => {
    const { processors, memoryMb, accelerators } = spec.resources;
    return [spec.key, spec.pool, processors, memoryMb, accelerators, spec.expectedRunMs, spec.payload];
};

const specFromRow = (row: Row): TaskSpec => {
    const [key, pool, processors, memoryMb, accelerators, expectedRunMs, payload] = row as [
        string,
        string,
        number,
        number,
        number,
        number,
        string,
    ];
    const resources = Resources.create({ processors, memoryMb, accelerators });
    return { key, pool, resources, expectedRunMs, payload };
};

const toRow = (transition: Transition): Row => {
    switch (transition.kind) {
        case "accepted":
            return [Tag.Accepted, ...specToRow(transition.spec), transition.wallMs];
        case "starting":
            return [Tag.Starting, transition.key, transition.attempt, transition.worker];
        case "running":
            return [Tag.Running, transition.key, transition.attempt];
        case "attempt-loss":
            return [
                Tag.Running,
                transition.key,
                transition.attempt,
                transition.verdict,
                transition.worker,
                transition.ranMs,
            ];
        case "checkpointing":
            return [Tag.Checkpointing, transition.key, transition.attempt];
        case "released":
            return [
                Tag.Released,
                transition.key,
                transition.attempt,
                transition.wallMs,
                ...(transition.checkpoint === undefined ? [] : [transition.checkpoint]),
            ];
        case "finished":
            return [Tag.Finished, transition.key, transition.attempt, transition.wallMs, transition.output];
        case "failed":
            return [Tag.Failed, transition.key, transition.attempt, transition.wallMs, transition.error];
        case "cancelled":
            return [Tag.Cancelled, transition.key, transition.wallMs];
        case "given-up":
            return [Tag.Cancelled, transition.key, transition.wallMs, GivenUp];
        case "forgotten":
            return [Tag.Forgotten, ...transition.keys];
        case "worker-mode":
            return [Tag.WorkerMode, transition.worker, transition.mode];
    }
};

const fromRow = (row: Row): Transition => {
    const [tag, ...fields] = row;
    const ref = { key: fields[0] as string, attempt: fields[1] as number };
    switch (tag) {
        case Tag.Accepted:
            return {
                kind: "accepted",
                spec: specFromRow(fields),
                wallMs: fields[7] as number,
            };
        case Tag.Starting:
            return { kind: "starting", ...ref, worker: fields[2] as string };
        case Tag.Running: {
            const [, , verdict, worker, ranMs] = fields as [
                string,
                number,
                string | undefined,
                string,
                number,
            ];
            return verdict === undefined
                ? { kind: "running", ...ref }
                : {
                      kind: "attempt-loss",
                      ...ref,
                      verdict: verdict as LossVerdict,
                      worker,
                      ranMs,
                  };
        }
        case Tag.Checkpointing:
            return { kind: "checkpointing", ...ref };
        case Tag.Released: {
            const checkpoint = fields[3] === undefined ? {} : { checkpoint: fields[3] as string };
            return { kind: "released", ...ref, wallMs: fields[2] as number, ...checkpoint };
        }
        case Tag.Finished:
            return { kind: "finished", ...ref, wallMs: fields[2] as number, output: fields[3] as string };
        case Tag.Failed:
            return { kind: "failed", ...ref, wallMs: fields[2] as number, error: fields[3] as string };
        case Tag.Cancelled:
            return {
                kind: fields[2] === GivenUp ? "given-up" : "cancelled",
                key: ref.key,
                wallMs: fields[1] as number,
            };
        case Tag.Forgotten:
            return { kind: "forgotten", keys: fields as string[] };
        case Tag.WorkerMode:
            return { kind: "worker-mode", worker: ref.key, mode: fields[1] as WorkerMode };
        default:
            throw new SyntaxError(`Unknown transition tag ${String(tag)}`);
    }
};

/**
 * Converts transitions to log rows and back. A row is an array with a tag in place of field names. `fromRow`
 * throws a `SyntaxError` for a row that `toRow` did not make.
 */
export const TransitionCodec = { toRow, fromRow, specToRow, specFromRow } as const;
