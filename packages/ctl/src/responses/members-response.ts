import * as Schema from "effect/Schema";

/** Response to `GET /v1/members`: the processes that an entry process knows. */
export const MembersResponse = Schema.Struct({
    members: Schema.Array(
        Schema.Struct({
            name: Schema.String,
            role: Schema.String,
            region: Schema.String,
            dataCentre: Schema.String,
            address: Schema.String,
            /** Revision of the configuration that the process uses. */
            revision: Schema.Int,
            state: Schema.Literals(["alive", "suspected", "gone"]),
        }),
    ),
});

export type MembersResponse = (typeof MembersResponse)["Type"];
