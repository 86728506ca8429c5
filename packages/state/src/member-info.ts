import * as Schema from "effect/Schema";

/** Schema of the description of a process that it sends to its peers and stores under `member/<name>`. */
export const MemberInfo = Schema.Struct({
    name: Schema.String,
    role: Schema.Literals(["entry", "scheduler"]),
    region: Schema.String,
    dataCentre: Schema.String,
    /** `ip:port` on which the process serves its peers. */
    address: Schema.String,
    /** Start time in milliseconds since 1970; higher after a restart. */
    incarnation: Schema.Finite,
    /** Incremented with each exchange round while the process runs. */
    heartbeat: Schema.Finite,
    configRevision: Schema.Int,
    /** Whether the process is shutting down. */
    leaving: Schema.Boolean,
});

export type MemberInfo = (typeof MemberInfo)["Type"];
