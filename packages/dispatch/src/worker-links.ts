import type { Clock } from "@samphireward/core/clock";
import type { CellLimits } from "@samphireward/jobs/cell-limits";
import type { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import type { Order } from "@samphireward/jobs/order";
import { OrderKind } from "@samphireward/jobs/order-kind";
import type { WorkerIncarnation } from "@samphireward/jobs/worker-incarnation";
import type { EventLog } from "./event-log.js";
import type { HeartbeatPause } from "./heartbeat-pause.js";
import type { LinkListener } from "./link-listener.js";
import type { Metrics } from "./metrics.js";
import type { OwnershipProof } from "./ownership-proof.js";
import { runInBackground } from "./run-in-background.js";
import { StopLog } from "./stop-log.js";
import { WorkerLink } from "./worker-link.js";
import type { WorkerClientFactory } from "./worker-client-factory.js";

/** Dependencies provided by the cell's owner. */
interface LinksContext {
    readonly epoch: number;
    readonly scheduler: CellScheduler;
    readonly createWorkerClient: WorkerClientFactory;
    readonly proof: Pick<OwnershipProof, "provenAtMs">;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly limits: CellLimits;
    readonly heartbeatPause: HeartbeatPause;
    readonly listener: LinkListener;
}

/** The links of a cell's owner to the current incarnations of the cell's workers. */
export class WorkerLinks {
    private readonly links = new Map<WorkerIncarnation, WorkerLink>();

    private readonly stopLog: StopLog;

    private constructor(private readonly context: LinksContext) {
        this.stopLog = StopLog.create(context);
    }

    static create(context: LinksContext): WorkerLinks {
        return new WorkerLinks(context);
    }

    /** Opens links to current incarnations and closes those of replaced ones; to be called before each plan. */
    sync(): void {
        this.stopLog.endOldSeries();
        const { fleet } = this.context.scheduler;
        for (const [worker, link] of this.links) {
            if (fleet.get(worker.entry.id) !== worker) {
                link.close();
                this.links.delete(worker);
            }
        }
        for (const worker of fleet.workers) {
            if (!this.links.has(worker)) {
                this.open(worker);
            }
        }
    }

    /** Opens the link to a worker that has just registered; cheap for the many that have one. */
    ensureLink(worker: WorkerIncarnation): void {
        if (!this.links.has(worker)) {
            this.sync();
        }
    }

    /** Sends an order; the link reports its outcome to the scheduler. */
    send(order: Order): void {
        const link = this.links.get(order.worker);
        if (link === undefined) {
            this.context.log.write("order-without-link", { worker: order.worker.entry.id, kind: order.kind });
            return;
        }
        switch (order.kind) {
            case OrderKind.Start:
                runInBackground("start", link.start(order.run), this.context.log);
                break;
            case OrderKind.Stop:
                runInBackground("stop", link.stop(order.task, order.number, order.reason), this.context.log);
                break;
            case OrderKind.Pace:
                runInBackground("pace", link.pace(order.run, order.percent), this.context.log);
                break;
        }
    }

    close(): void {
        this.links.forEach(link => link.close());
        this.links.clear();
    }

    private open(worker: WorkerIncarnation): void {
        const { createWorkerClient, epoch, limits } = this.context;
        const link = WorkerLink.create(worker, createWorkerClient(worker.entry), {
            ...this.context,
            stopLog: this.stopLog,
            fencingToken: epoch,
            leaseMs: limits.leaseMs,
        });
        this.links.set(worker, link);
        runInBackground("heartbeats", link.run(), this.context.log);
    }
}
