import { keepRunning } from "@samphireward/runtime/keep-running";
import type { CellOwnerRecord } from "@samphireward/runtime/cell-owner-record";
import type { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import { runInBackground } from "@samphireward/core/run-in-background";
import type { Tables } from "@samphireward/core/tables";
import type { ShareRegistry } from "@samphireward/routing/share-registry";
import type { OwnerRecord } from "@samphireward/state/owner-record";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { CellConnector } from "./cell-connector.js";
import type { CellStream } from "./cell-stream.js";

interface CellConnectorsOptions {
    readonly runtime: ProcessRuntime;
    readonly shares: ShareRegistry;
    /** Id of this entry process, unique for each start of the process. */
    readonly entry: string;
    /** Number of requests, in progress and queued, that may go to the cell. */
    readonly demandOf: (cell: string) => number;
}

/** Streams of this entry process to the owners of all cells: one connector for each cell in the tables. */
export class CellConnectors {
    private readonly connectors = new Map<string, CellConnector>();
    private readonly fibers = new Map<string, Fiber.Fiber<void>>();

    private constructor(private readonly options: CellConnectorsOptions) {}

    static create(options: CellConnectorsOptions): CellConnectors {
        return new CellConnectors(options);
    }

    get cells(): string[] {
        return [...this.connectors.keys()];
    }

    /** The stream to the cell's owner; `undefined` while there is none. */
    streamTo(cell: string): CellStream | undefined {
        return this.connectors.get(cell)?.currentStream;
    }

    /** Connects to the cells that new tables add and disconnects from those that are no longer listed. */
    setTables(tables: Tables): void {
        const wanted = new Set(tables.allCells().map(String));
        for (const cell of wanted) {
            if (!this.connectors.has(cell)) {
                this.add(cell);
            }
        }
        for (const cell of this.cells.filter(name => !wanted.has(name))) {
            runInBackground("remove cell", this.remove(cell), this.options.runtime.log);
        }
    }

    /** Releases the shares of all cells and ends the streams. No request may be in progress any more. */
    async close(): Promise<void> {
        await Promise.all(
            [...this.connectors].map(async ([cell, connector]) => {
                await connector.release();
                await this.remove(cell);
            }),
        );
    }

    private add(cell: string): void {
        const { runtime, shares, entry, demandOf } = this.options;
        const { region, dataCentre } = runtime.membership.self;
        const connector = CellConnector.create({
            cell,
            entry,
            dataCentre,
            region,
            shares,
            transports: runtime.transports,
            clock: runtime.clock,
            random: runtime.random,
            findOwner: () => this.findOwner(cell),
            demand: () => demandOf(cell),
            onConnectionChange: connected =>
                runtime.log.info("stream to cell owner changed", { cell, connected }),
        });
        this.connectors.set(cell, connector);
        this.fibers.set(cell, Effect.runFork(keepRunning(`cell ${cell}`, connector.run(), runtime.log)));
    }

    private async remove(cell: string): Promise<void> {
        const fiber = this.fibers.get(cell);
        this.connectors.delete(cell);
        this.fibers.delete(cell);
        if (fiber !== undefined) {
            await Effect.runPromise(Fiber.interrupt(fiber));
        }
    }

    /** Reads the owner from the store; while that fails, returns the one that peers have reported. */
    private async findOwner(cell: string): Promise<CellOwnerRecord | undefined> {
        const { owners, store } = this.options.runtime;
        const read = await store.get(`cell/${cell}/owner`);
        if (read.isErr()) {
            return owners.lookup(cell);
        }
        if (read.value === undefined) {
            return undefined;
        }
        const record = { cell, ...(JSON.parse(read.value.value) as OwnerRecord) };
        owners.update(record);
        return record;
    }
}
