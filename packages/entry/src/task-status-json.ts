import type { TaskReply } from "@samphireward/protocol/gen/samphireward_pb";

/** Converts a task reply to the JSON that callers and operators get. */
export const taskStatusJson = ({ code, message, status }: TaskReply): Record<string, unknown> => ({
    code,
    ...(message === "" ? {} : { message }),
    ...(status === undefined
        ? {}
        : {
              key: status.key,
              pool: status.pool,
              state: status.state,
              attempt: status.attempt,
              worker: status.worker,
              reason: status.reason,
              output: status.output,
          }),
});
