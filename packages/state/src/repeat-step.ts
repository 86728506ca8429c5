import * as Effect from "effect/Effect";

/** Runs a step repeatedly until interrupted. Each run returns the delay in milliseconds until the next. */
export const repeatStep = (step: () => Promise<number>): Effect.Effect<never> =>
    Effect.promise(step).pipe(
        Effect.flatMap(pauseMs => Effect.sleep(pauseMs)),
        Effect.forever,
    );
