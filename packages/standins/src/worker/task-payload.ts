import * as Schema from "effect/Schema";

/** Schema of a stand-in task's payload, which is JSON text. */
export const TaskPayload = Schema.Struct({
    /** Run time in milliseconds at full speed. */
    runMs: Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0)),
    /** The task ends as failed after its run time. */
    fail: Schema.optionalKey(Schema.Boolean),
    /** Resources that the task actually uses; its reservation if absent. */
    usage: Schema.optionalKey(Schema.Struct({ processors: Schema.Finite, memoryMb: Schema.Finite })),
});

export type TaskPayload = (typeof TaskPayload)["Type"];
