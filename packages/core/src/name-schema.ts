import * as Schema from "effect/Schema";

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;

/** Schema of a name in a table or settings file: lower-case letters, digits and hyphens, at most 63 characters. */
export const NameSchema = Schema.String.check(
    Schema.isPattern(namePattern, {
        expected: "a name of lower-case letters, digits and hyphens, at most 63 long",
    }),
);
