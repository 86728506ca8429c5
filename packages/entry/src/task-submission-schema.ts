import { ResourcesSchema } from "@samphireward/core/resources-schema";
import * as Schema from "effect/Schema";

const MaxPayloadCodeUnits = 16_384;

/** Schema of the body of a caller's task submission. */
export const TaskSubmissionSchema = Schema.Struct({
    key: Schema.String.check(
        Schema.isPattern(/^[\w.:-]{1,128}$/, {
            expected: "a key of letters, digits and . : _ -, at most 128 long",
        }),
    ),
    resources: Schema.optionalKey(ResourcesSchema),
    expectedRunMs: Schema.optionalKey(Schema.Int.check(Schema.isGreaterThan(0))),
    payload: Schema.optionalKey(Schema.String.check(Schema.isMaxLength(MaxPayloadCodeUnits))),
});
