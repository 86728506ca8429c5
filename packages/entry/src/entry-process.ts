import { setTimeout as sleep } from "node:timers/promises";
import type { IncomingMessage, Server } from "node:http";
import { CellName } from "@samphireward/core/cell-name";
import { JsonServer } from "@samphireward/core/json-server";
import { listen } from "@samphireward/core/listen";
import { Outcome } from "@samphireward/core/outcome";
import { describeCode } from "@samphireward/core/describe-code";
import { describeError } from "@samphireward/core/describe-error";
import type { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import type { Tables } from "@samphireward/core/tables";
import { createCallersServer } from "@samphireward/routing/create-callers-server";
import { RequestHandler } from "@samphireward/routing/request-handler";
import type { RequestRecord } from "@samphireward/routing/request-record";
import { ShareRegistry } from "@samphireward/routing/share-registry";
import { keepRunning } from "@samphireward/runtime/keep-running";
import { ProcessRuntime } from "@samphireward/runtime/process-runtime";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { AdminApi } from "./admin-api.js";
import { createBearerCheck } from "./create-bearer-check.js";
import { CallersListener } from "./callers-listener.js";
import { CellConnectors } from "./cell-connectors.js";
import { ConnectKeyClaimer } from "./connect-key-claimer.js";
import { IdempotencyKeys } from "./idempotency-keys.js";
import type { EntrySettings } from "./entry-settings.js";
import { Readiness } from "./readiness.js";
import { RouteMetrics } from "./route-metrics.js";
import { TaskApi } from "./task-api.js";
import { TaskGateway } from "./task-gateway.js";

/** A process that has reached neither the store nor a peer for this time reports to the balancer as not ready. */
const MaxNoContactMs = 60_000;
/** Interval between two checks, during shutdown, whether task requests are still in progress. */
const DrainPollIntervalMs = 10;

/** An entry process: callers' port, administration port and the streams to the owners of all cells. */
export class EntryProcess {
    private readonly runtime: ProcessRuntime;
    private readonly shares: ShareRegistry;
    private readonly readiness: Readiness;
    private readonly keys: IdempotencyKeys;
    private readonly connectors: CellConnectors;
    private readonly metrics: RouteMetrics;
    private readonly gateway: TaskGateway;
    private readonly taskApi: TaskApi;
    private readonly admin: JsonServer;
    private readonly fibers: Fiber.Fiber<unknown, unknown>[] = [];
    private handler: RequestHandler | undefined;
    private listener: CallersListener | undefined;
    private callersServer: Server | undefined;
    private isDraining = false;
    private fail: (err: unknown) => void = () => undefined;
    /** Rejects when the process cannot open the callers' port; it must then end, so that it is started again. */
    readonly failed = new Promise<never>((...[, reject]) => (this.fail = reject));

    private constructor(private readonly settings: EntrySettings) {
        this.runtime = ProcessRuntime.create({
            role: "entry",
            settings,
            keys: {
                claim: (key, id) => this.keys.claim(key, id),
                release: (key, id) => this.keys.release(key, id),
            },
            onTablesApplied: tables => this.setTables(tables),
            onVmList: () => this.updateLeavingWorkers(),
        });
        const { clock, store, membership } = this.runtime;
        const { name, incarnation } = membership.self;
        this.shares = ShareRegistry.create(clock);
        this.readiness = Readiness.create(this.shares);
        this.keys = IdempotencyKeys.create({
            clock,
            store,
            name,
            incarnation,
            retentionMs: settings.keys.remember,
        });
        this.metrics = RouteMetrics.create(clock);
        this.connectors = CellConnectors.create({
            runtime: this.runtime,
            shares: this.shares,
            entry: `${name}@${incarnation}`,
            demandOf: cell => this.demandOf(cell),
        });
        this.gateway = TaskGateway.create({
            clock,
            tables: () => this.runtime.config.applied?.tables,
            streamTo: cell => this.connectors.streamTo(cell),
        });
        this.taskApi = TaskApi.create(this.gateway);
        this.admin = JsonServer.create(
            createBearerCheck(settings.admin.tokenFile),
            (err, req) => this.recordUnexpectedError(err, req),
            undefined,
            reason => this.runtime.counters.add(`admin.refused.${reason}`),
        );
        AdminApi.mount(this.admin, {
            runtime: this.runtime,
            connectors: this.connectors,
            gateway: this.gateway,
            metrics: this.metrics,
            health: () => this.health(),
            counters: () => this.counters(),
        });
    }

    static create(settings: EntrySettings): EntryProcess {
        return new EntryProcess(settings);
    }

    async start(): Promise<void> {
        await this.runtime.open();
        const admin = await this.admin.listen(this.settings.admin.listen);
        this.runtime.log.info("administration port is open", { admin });
        this.fibers.push(Effect.runFork(this.runtime.run()));
        this.fibers.push(Effect.runFork(keepRunning("keys", this.keys.run(), this.runtime.log)));
    }

    /** Reports as not ready, serves until the drain time has passed, finishes all requests, then closes. */
    async stop(): Promise<void> {
        this.runtime.log.info("draining", { drainMs: this.settings.callers.drain });
        this.isDraining = true;
        this.runtime.membership.leave();
        await sleep(this.settings.callers.drain);
        await this.closeCallersPort();
        this.runtime.log.info("stopped", { counters: this.counters() });
        await this.connectors.close();
        await Promise.all(this.fibers.map(fiber => Effect.runPromise(Fiber.interrupt(fiber))));
        await this.admin.close();
        await this.runtime.close();
    }

    private async closeCallersPort(): Promise<void> {
        const closed = new Promise<void>(resolve => {
            if (this.callersServer === undefined) {
                resolve();
            }
            this.callersServer?.close(() => resolve());
        });
        await this.handler?.drain();
        while ((this.listener?.taskRequestsInProgress ?? 0) > 0) {
            await sleep(DrainPollIntervalMs);
        }
        this.callersServer?.closeIdleConnections();
        await closed;
        this.handler?.close();
    }

    private setTables(tables: Tables): void {
        this.connectors.setTables(tables);
        if (this.handler === undefined) {
            this.openCallersPort(tables).catch(this.fail);
        }
    }

    /** Opens the callers' port; called once the first tables are in force. */
    private async openCallersPort(first: Tables): Promise<void> {
        const { clock, transports, log, counters } = this.runtime;
        const { maxConnections, maxRequests, maxBodyBytes } = this.settings.callers;
        const tables = (): Tables => this.runtime.config.applied?.tables ?? first;
        const handler = RequestHandler.create({
            clock,
            dataCentre: this.settings.dataCentre,
            tables,
            shares: this.shares,
            claimer: ConnectKeyClaimer.create(this.keys, transports),
            onOutcome: record => this.recordOutcome(record),
            onUnexpectedError: (err, req) => this.recordUnexpectedError(err, req),
            counters,
            settings: {
                ...(maxRequests !== undefined && { maxRequests }),
                ...(maxBodyBytes !== undefined && { maxBodiesBytes: maxBodyBytes }),
            },
            entryCountInRegion: () => this.countEntriesInRegion(),
        });
        this.handler = handler;
        const listener = CallersListener.create({
            clock,
            tables,
            requests: handler,
            tasks: this.taskApi,
            onTaskAnswered: (route, code, latencyMs) => this.recordTaskRequest(route, code, latencyMs),
            onUnexpectedError: (err, req) => this.recordUnexpectedError(err, req),
        });
        this.listener = listener;
        this.callersServer = createCallersServer(handler, (req, res) => listener.handle(req, res), {
            ...(maxConnections !== undefined && { maxConnections }),
            onRefused: reason => counters.add(`callers.refused.${reason}`),
        });
        const callers = await listen(this.callersServer, this.settings.callers.listen);
        log.info("callers' port is open", { callers });
    }

    private recordTaskRequest(route: Route, code: ResultCode, latencyMs: number): void {
        this.runtime.counters.add(`tasks.code.${code}`);
        this.metrics.record(route, latencyMs, describeCode(code).outcome === Outcome.Answered);
    }

    private recordUnexpectedError(err: unknown, req: IncomingMessage): void {
        this.runtime.counters.add("requests.unexpected-errors");
        const { method, url } = req;
        this.runtime.log.error("unexpected error in a request", { method, url, error: describeError(err) });
    }

    private recordOutcome({ route: name, code, latencyMs }: RequestRecord): void {
        this.runtime.counters.add(`requests.code.${code}`);
        const route = name === undefined ? undefined : this.runtime.config.applied?.tables.routes.get(name);
        if (route !== undefined) {
            this.metrics.record(route, latencyMs, describeCode(code).outcome === Outcome.Answered);
        }
    }

    private demandOf(cell: string): number {
        const tables = this.runtime.config.applied?.tables;
        const { dataCentre } = CellName.parse(cell);
        let demand = 0;
        for (const [name, { inUse, queued }] of this.handler?.demand() ?? []) {
            if (tables?.pools.get(name)?.zones.includes(dataCentre) === true) {
                demand += inUse + queued;
            }
        }
        return demand;
    }

    private countEntriesInRegion(): number {
        const inRegion = this.runtime.membership.members.filter(
            ({ role, region, state }) =>
                role === "entry" && region === this.settings.region && state === "alive",
        );
        return Math.max(1, inRegion.length);
    }

    private updateLeavingWorkers(): void {
        const leaving = this.runtime.vms.all().filter(worker => worker.leaving);
        this.shares.setLeavingWorkers(new Set(leaving.map(worker => worker.name)));
    }

    private health(): { state: string; ready: boolean } {
        if (this.isDraining) {
            return { state: "draining", ready: false };
        }
        if (this.callersServer?.listening !== true) {
            return { state: "starting", ready: false };
        }
        const tables = this.runtime.config.applied?.tables;
        if (!this.readiness.isReady(tables)) {
            return { state: "no-targets", ready: false };
        }
        const isCutOff = this.runtime.config.msSinceAnyContact() > MaxNoContactMs;
        return { state: isCutOff ? "cut-off" : "ready", ready: !isCutOff };
    }

    private counters(): Record<string, number> {
        return {
            ...this.runtime.counters.snapshot(),
            ...this.runtime.store.counters.snapshot(),
            ...this.runtime.config.counters.snapshot(),
            ...this.runtime.membership.counters.snapshot(),
            ...this.handler?.linkBytes(),
        };
    }
}
