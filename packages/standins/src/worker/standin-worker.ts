import { listen } from "@samphireward/core/listen";
import { Resources } from "@samphireward/core/resources";
import { SystemClock } from "@samphireward/core/system-clock";
import { ServicePort } from "./service-port.js";
import { TaskPort } from "./task-port.js";
import { UsageHistory } from "./usage-history.js";
import { WorkerModel } from "./worker-model.js";
import type { WorkerSettings } from "./worker-settings.js";

type Settings = WorkerSettings["workers"][number];

const DefaultSlots = 8;
const DefaultConnections = 64;
const DefaultUsageLagMs = 2000;

/** How often due tasks end when no call arrives. */
const AdvanceIntervalMs = 50;

/** One stand-in worker with its task port and its service port. */
export class StandinWorker {
    readonly model: WorkerModel;
    private readonly servicePort: ServicePort;
    private readonly taskPort: TaskPort;
    private readonly usage: UsageHistory;
    private timer: NodeJS.Timeout | undefined;

    private constructor(private readonly settings: Settings) {
        const clock = SystemClock.create();
        this.model = WorkerModel.create(Resources.create(settings.capacity), clock);
        const slots = settings.slots ?? DefaultSlots;
        const connections = settings.connections ?? DefaultConnections;
        this.servicePort = ServicePort.create({ slots, connections }, this.model.stats);
        const lagMs = settings.usageLag ?? DefaultUsageLagMs;
        this.usage = UsageHistory.create(this.model, clock, lagMs, () => this.servicePort.usage());
        this.taskPort = TaskPort.create(this.model, this.usage, this.servicePort);
    }

    static create(settings: Settings): StandinWorker {
        return new StandinWorker(settings);
    }

    /** Opens both ports and returns their addresses. Rejects when an address is in use. */
    async start(): Promise<{ readonly taskAddress: string; readonly serviceAddress: string }> {
        const taskAddress = await this.taskPort.server.listen(this.settings.taskListen);
        const serviceAddress = await listen(this.servicePort.server, this.settings.serviceListen);
        this.timer = setInterval(() => this.advance(), AdvanceIntervalMs);
        return { taskAddress, serviceAddress };
    }

    close(): void {
        clearInterval(this.timer);
        void this.taskPort.server.close();
        this.servicePort.server.close();
        this.servicePort.server.closeAllConnections();
    }

    /** The entry that the VM directory keeps for this worker. */
    directoryEntry(): object {
        const { name, taskListen, serviceListen, dataCentre, rack, capacity } = this.settings;
        return {
            name,
            role: "worker",
            taskAddress: taskListen,
            serviceAddress: serviceListen,
            dataCentre,
            rack,
            capacity,
            leaving: false,
        };
    }

    private advance(): void {
        this.model.advance();
        this.usage.sample();
    }
}
