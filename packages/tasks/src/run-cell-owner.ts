import * as Effect from "effect/Effect";
import type { CellOwner } from "./cell-owner.js";

/** Time between two checks for work that is due; well below every interval of `OwnerTiming`. */
const TickIntervalMs = 100;

const runWorker = (owner: CellOwner, name: string): Effect.Effect<void> =>
    Effect.gen(function* () {
        while (owner.isActive && owner.hasWorker(name)) {
            owner.tickWorker(name);
            yield* Effect.sleep(TickIntervalMs);
        }
    });

/**
 * Runs a cell's owner until it is deposed or closed: one fiber for the cell and one for each worker, so that
 * an unresponsive worker delays no other. Interruption stops the fibers and does not close the owner.
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
