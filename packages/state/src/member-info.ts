import * as Schema from "effect/Schema";

/** Schema of a process as it describes itself to its peers, and of the key `member/<name>`. */
export const MemberInfo = Schema.Struct({
    name: Schema.String,
    role: Schema.Literals(["entry", "scheduler"]),
    region: Schema.String,
    dataCentre: Schema.String,
    /** `ip:port` of the peer port. */
    address: Schema.String,
    /** Start time in milliseconds since 1970; a restarted process has a higher one. */
    incarnation: Schema.Finite,
    /** Grows while the process runs. */
    heartbeat: Schema.Finite,
    configRevision: Schema.Int,
    /** The process is shutting down. */
    leaving: Schema.Boolean,
});

export type MemberInfo = (typeof MemberInfo)["Type"];
