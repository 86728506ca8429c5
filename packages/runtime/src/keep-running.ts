import type { ProcessLog } from "@samphireward/core/process-log";
import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";

const RestartMs = 1_000;

/** Runs a loop and starts it again, after a pause, when it ends by an unexpected error. The error is logged. */
export const keepRunning = (
    name: string,
    loop: Effect.Effect<unknown>,
    log: ProcessLog,
): Effect.Effect<void> =>
    Effect.forever(
        loop.pipe(
            Effect.catchCause(cause =>
                Cause.hasInterruptsOnly(cause)
                    ? Effect.interrupt
                    : Effect.sync(() => log.error("loop failed", { loop: name, cause: Cause.pretty(cause) })),
            ),
            Effect.andThen(Effect.sleep(RestartMs)),
        ),
    );
