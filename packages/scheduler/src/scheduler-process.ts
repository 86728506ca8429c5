import type { Tables } from "@samphireward/core/tables";
import { CellService } from "@samphireward/protocol/gen/samphireward_pb";
import { keepRunning } from "@samphireward/runtime/keep-running";
import { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { CellHost } from "./cell-host.js";
import { cellServiceImpl } from "./cell-service-impl.js";
import type { SchedulerSettings } from "./scheduler-settings.js";

/** A scheduler process: competes for the ownership of every cell in the tables. */
export class SchedulerProcess {
    private readonly hosts = new Map<string, CellHost>();
    private readonly fibers: Fiber.Fiber<unknown, unknown>[] = [];
    private readonly runtime: ProcessRuntime;
    private tables: Tables | undefined;

    private constructor(private readonly settings: SchedulerSettings) {
        this.runtime = ProcessRuntime.create({
            role: "scheduler",
            settings,
            routes: router =>
                router.service(
                    CellService,
                    cellServiceImpl(this.hosts, () => this.runtime.log),
                ),
            onTablesApplied: tables => this.setTables(tables),
            onVmList: () => this.updateHosts(),
        });
    }

    static create(settings: SchedulerSettings): SchedulerProcess {
        return new SchedulerProcess(settings);
    }

    async start(): Promise<void> {
        await this.runtime.open();
        this.fibers.push(Effect.runFork(this.runtime.run()));
    }

    /** Releases all cells to their next owners, then closes. Tasks keep running on their workers. */
    async stop(): Promise<void> {
        this.runtime.log.info("stopping", { counters: this.runtime.counters.snapshot() });
        this.runtime.membership.leave();
        await Promise.all([...this.hosts.values()].map(host => host.release()));
        await Promise.all(this.fibers.map(fiber => Effect.runPromise(Fiber.interrupt(fiber))));
        await this.runtime.close();
    }

    private setTables(tables: Tables): void {
        this.tables = tables;
        for (const cell of tables.allCells()) {
            const name = String(cell);
            if (!this.hosts.has(name)) {
                const host = CellHost.create({
                    cell,
                    runtime: this.runtime,
                    tables: () => this.tables,
                    placement: this.settings.placement,
                });
                this.hosts.set(name, host);
                this.fibers.push(Effect.runFork(keepRunning(`cell ${name}`, host.run(), this.runtime.log)));
            }
        }
        this.updateHosts();
    }

    private updateHosts(): void {
        for (const host of this.hosts.values()) {
            host.update();
        }
    }
}
