import * as Effect from "effect/Effect";
import type { CellOwner } from "./cell-owner.js";

/** Between two looks at what is due; well below every interval of the owner's timing. */
const TickIntervalMs = 100;

const runWorker = (owner: CellOwner, name: string): Effect.Effect<void> =>
    Effect.gen(function* () {
        while (owner.isActive && owner.hasWorker(name)) {
            owner.tickWorker(name);
            yield* Effect.sleep(TickIntervalMs);
        }
    });

/**
 * Carries on a cell's work until its owner is deposed or closed: one fiber for the cell and one for each worker,
 * so that a worker that does not answer delays no other. Interrupting it stops the fibers and leaves the owner.
 */
export const runCellOwner = (owner: CellOwner): Effect.Effect<void> =>
    Effect.scoped(
        Effect.gen(function* () {
            const running = new Set<string>();
            while (owner.isActive) {
                for (const name of owner.workerNames) {
                    if (!running.has(name)) {
                        running.add(name);
                        const ended = Effect.sync(() => running.delete(name));
                        yield* Effect.forkScoped(Effect.ensuring(runWorker(owner, name), ended));
                    }
                }
                owner.tickCell();
                yield* Effect.sleep(TickIntervalMs);
            }
        }),
    );
