import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "@samphireward/core/clock";
import { Counters } from "@samphireward/core/counters";
import type { RandomSource } from "@samphireward/core/random-source";
import { ResultCode } from "@samphireward/core/result-code";
import type { Route } from "@samphireward/core/route";
import { SystemRandom } from "@samphireward/core/system-random";
import type { Tables } from "@samphireward/core/tables";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { ByteBudget } from "./byte-budget.js";
import { defaultRequestSettings } from "./default-request-settings.js";
import { findRoute } from "./find-route.js";
import { HeaderName } from "./header-name.js";
import type { KeyClaimer } from "./key-claimer.js";
import { LinkRegistry } from "./link-registry.js";
import { PoolDispatcher } from "./pool-dispatcher.js";
import type { RequestContext } from "./request-context.js";
import { validateRequest } from "./validate-request.js";
import { RequestJob } from "./request-job.js";
import type { RequestRecord } from "./request-record.js";
import type { RequestSettings } from "./request-settings.js";
import { sendCode } from "./send-code.js";
import type { ShareRegistry } from "./share-registry.js";
import { TargetRegistry } from "./target-registry.js";

/** Interval between checks of deadlines and silent connections. */
const TickIntervalMs = 10;
/**
 * Number of ticks between maintenance runs, which close idle connections and dispatch to targets that have become
 * usable.
 */
const TicksPerMaintenance = 10;

interface HandlerOptions {
    readonly clock: Clock;
    readonly dataCentre: string;
    /** Returns the current tables; called for each request. */
    readonly tables: () => Tables;
    readonly shares: ShareRegistry;
    readonly claimer: KeyClaimer;
    readonly onOutcome: (record: RequestRecord) => void;
    /** Called with an error that ended a request after `handle` had returned. */
    readonly onUnexpectedError?: (err: unknown, req: IncomingMessage) => void;
    readonly random?: RandomSource;
    readonly counters?: Counters;
    readonly settings?: Partial<RequestSettings>;
    /** Number of entry processes in this region, which share the links to other regions equally. */
    readonly entryCountInRegion?: () => number;
}

/** Handles the callers' requests of an entry process, on a server created by `createCallersServer`. */
export class RequestHandler {
    readonly settings: RequestSettings;
    private readonly context: RequestContext;
    private readonly targets: TargetRegistry;
    private readonly links: LinkRegistry;
    private readonly dispatchers = new Map<string, PoolDispatcher>();
    private readonly jobs = new Set<RequestJob>();
    private readonly timer: NodeJS.Timeout;
    private tables: Tables;
    private ticks = 0;
    private isDraining = false;
    private onDrained: (() => void)[] = [];
    private readonly onClosed = (job: RequestJob): void => {
        this.jobs.delete(job);
        this.checkDrained();
    };

    private constructor(private readonly options: HandlerOptions) {
        const { clock, shares, claimer, onOutcome } = options;
        this.settings = { ...defaultRequestSettings, ...options.settings };
        this.tables = options.tables();
        this.links = LinkRegistry.create(clock, options.dataCentre, options.entryCountInRegion ?? (() => 1));
        this.targets = TargetRegistry.create(clock, shares, this.settings);
        this.context = {
            clock,
            shares,
            claimer,
            onOutcome,
            onUnexpectedError: options.onUnexpectedError ?? (() => undefined),
            random: options.random ?? SystemRandom.create(),
            counters: options.counters ?? Counters.create(),
            settings: this.settings,
            bodyBudget: ByteBudget.create(this.settings.maxBodiesBytes),
            isDraining: () => this.isDraining,
            linkLimitersFor: target => this.links.limitersFor(target, this.tables),
        };
        shares.onChange(() => this.refresh());
        this.timer = setInterval(() => this.tick(), TickIntervalMs);
        this.timer.unref();
    }

    static create(options: HandlerOptions): RequestHandler {
        return new RequestHandler(options);
    }

    /** Number of requests in progress, whose responses have not been handed to the operating system yet. */
    get activeCount(): number {
        return this.jobs.size;
    }

    /** Slots in use and queued requests by pool: the demand to report to the owners of the pool's cells. */
    demand(): Map<string, { inUse: number; queued: number }> {
        return new Map(
            [...this.dispatchers].map(([pool, dispatcher]) => [
                pool,
                { inUse: dispatcher.slotsInUse, queued: dispatcher.queuedCount },
            ]),
        );
    }

    /** Bytes transferred over links to other regions so far, by link and direction. */
    linkBytes(): Record<string, number> {
        return this.links.byteCounts();
    }

    /** Handles one request. Never throws; calls `onOutcome` exactly once for each request. */
    handle(req: IncomingMessage, res: ServerResponse): void {
        this.handleRoute(req, res, findRoute(req, this.options.tables()));
    }

    /** Handles a request whose route lookup has been done. Rejects routes that are not of kind `request`. */
    handleRoute(req: IncomingMessage, res: ServerResponse, found: Result<Route, ResultCode>): void {
        this.updateTables();
        if (this.isDraining) {
            this.reject(res, ResultCode.ShuttingDown);
            return;
        }
        if (this.jobs.size >= this.settings.maxRequests) {
            this.reject(res, ResultCode.QueueFull);
            return;
        }
        const route = found.andThen(route =>
            route.kind === "request" ? Ok(route) : Err(ResultCode.UnknownRoute),
        );
        const head = route.andThen(route => validateRequest(req, route));
        if (head.isErr()) {
            this.reject(res, head.error);
            return;
        }
        const { pool } = head.value.route;
        const dispatcher = this.dispatchers.get(pool) ?? this.addDispatcher(pool);
        // The head is nested, because spreading it here took 5% of the processor time of a request.
        const options = { head: head.value, context: this.context, dispatcher, onClosed: this.onClosed };
        const job = RequestJob.start(options, req, res);
        this.jobs.add(job);
    }

    /** Whether a request on this connection awaits its response, so that nothing else may be written to it. */
    isAwaitingResponse(socket: unknown): boolean {
        return [...this.jobs].some(job => job.isAwaitingResponse(socket));
    }

    /** Rejects new requests (code 2008) and resolves when no request is left. Running requests are completed. */
    drain(): Promise<void> {
        this.isDraining = true;
        return new Promise(resolve => {
            this.onDrained.push(resolve);
            this.checkDrained();
        });
    }

    /** Stops the timer and closes idle connections. Call after `drain`. */
    close(): void {
        clearInterval(this.timer);
        this.targets.retireAll();
    }

    private reject(res: ServerResponse, code: ResultCode): void {
        const startMs = this.options.clock.nowMs();
        res.on("error", () => undefined);
        const status = sendCode(res, code, this.isDraining);
        const latencyMs = this.options.clock.nowMs() - startMs;
        const customer = String(res.req.headers[HeaderName.Customer] ?? "");
        this.options.onOutcome({
            route: undefined,
            pool: undefined,
            customer,
            code,
            status,
            latencyMs,
            attemptCount: 0,
        });
    }

    private updateTables(): void {
        const tables = this.options.tables();
        if (tables !== this.tables) {
            this.tables = tables;
            this.refresh();
        }
    }

    private addDispatcher(pool: string): PoolDispatcher {
        const { clock, random, settings } = this.context;
        const dispatcher = PoolDispatcher.create({
            clock,
            random,
            retryShare: settings.retryShare,
            findTiers: () => this.targets.tiersOf(pool, this.tables, this.options.dataCentre),
            hasLinkCapacity: target => this.links.hasCapacity(target, this.tables),
        });
        this.dispatchers.set(pool, dispatcher);
        return dispatcher;
    }

    private refresh(): void {
        this.targets.refresh();
        this.dispatchers.forEach(dispatcher => dispatcher.refresh());
    }

    private tick(): void {
        const nowMs = this.options.clock.nowMs();
        this.jobs.forEach(job => job.tick(nowMs));
        this.ticks += 1;
        if (this.ticks % TicksPerMaintenance === 0) {
            this.targets.trim(nowMs);
            this.dispatchers.forEach(dispatcher => dispatcher.dispatchQueued());
        }
    }

    private checkDrained(): void {
        if (this.isDraining && this.jobs.size === 0) {
            this.onDrained.forEach(resolve => resolve());
            this.onDrained = [];
        }
    }
}
