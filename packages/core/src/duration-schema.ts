import * as Effect from "effect/Effect";
import * as Schema from "effect/Schema";
import * as SchemaGetter from "effect/SchemaGetter";
import * as SchemaIssue from "effect/SchemaIssue";
import ms from "ms";

const durationPattern = /^\d+(\.\d+)?\s?(ms|s|m|h|d)$/;

const parseMs = (text: string): Effect.Effect<number, SchemaIssue.Issue> =>
    durationPattern.test(text)
        ? Effect.succeed(ms(text as ms.StringValue))
        : Effect.fail(
              new SchemaIssue.InvalidValue({
                  message: `Expected a duration with a unit, such as "800ms", "5s" or "2m"`,
              }),
          );

/** Schema of a duration in a settings file or table: text with a unit, decoded to milliseconds. */
export const DurationSchema = Schema.String.pipe(
    Schema.decodeTo(Schema.Number, {
        decode: SchemaGetter.transformEffect(parseMs),
        encode: SchemaGetter.transform((valueMs: number) => `${valueMs}ms`),
    }),
);
