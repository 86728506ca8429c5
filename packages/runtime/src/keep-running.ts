import type { ProcessLogger } from "@samphireward/core/process-logger";
import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";

const RestartDelayMs = 1_000;

/** Runs a loop, and restarts it after a delay when it ends. An unexpected error is logged. */
export const keepRunning = (
    name: string,
    loop: Effect.Effect<unknown>,
    log: ProcessLogger,
): Effect.Effect<void> =>
    Effect.forever(
        loop.pipe(
            Effect.catchCause(cause =>
                Cause.hasInterruptsOnly(cause)
                    ? Effect.interrupt
                    : Effect.sync(() => log.error("loop failed", { loop: name, cause: Cause.pretty(cause) })),
            ),
            Effect.andThen(Effect.sleep(RestartDelayMs)),
        ),
    );
