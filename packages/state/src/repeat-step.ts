import * as Effect from "effect/Effect";

/** Runs a step for ever; each run returns the pause in milliseconds until the next. Stops when interrupted. */
export const repeatStep = (step: () => Promise<number>): Effect.Effect<never> =>
    Effect.promise(step).pipe(
        Effect.flatMap(pauseMs => Effect.sleep(pauseMs)),
        Effect.forever,
    );
