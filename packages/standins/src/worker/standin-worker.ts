import { listen } from "@samphireward/core/listen";
import { Resources } from "@samphireward/core/resources";
import { runInBackground } from "@samphireward/core/run-in-background";
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

/** Interval at which due tasks are ended while no call arrives. */
const AdvanceIntervalMs = 50;

/** A stand-in worker with its task port and its service port. */
export class StandinWorker {
    readonly model: WorkerModel;
    private readonly servicePort: ServicePort;
    private readonly taskPort: TaskPort;
    private readonly usageHistory: UsageHistory;
    private advanceTimer: NodeJS.Timeout | undefined;

    private constructor(private readonly settings: Settings) {
        const clock = SystemClock.create();
        this.model = WorkerModel.create(Resources.create(settings.capacity), clock);
        const slots = settings.slots ?? DefaultSlots;
        const connections = settings.connections ?? DefaultConnections;
        this.servicePort = ServicePort.create({ slots, connections }, this.model.stats);
        const lagMs = settings.usageLag ?? DefaultUsageLagMs;
        this.usageHistory = UsageHistory.create(this.model, clock, lagMs, () => this.servicePort.usage());
        this.taskPort = TaskPort.create(this.model, this.usageHistory, this.servicePort);
    }

    static create(settings: Settings): StandinWorker {
        return new StandinWorker(settings);
    }

    /** Opens both ports and returns their addresses. Rejects if an address is in use. */
    async start(): Promise<{ readonly taskAddress: string; readonly serviceAddress: string }> {
        const taskAddress = await this.taskPort.server.listen(this.settings.taskListen);
        const serviceAddress = await listen(this.servicePort.server, this.settings.serviceListen);
        this.advanceTimer = setInterval(() => this.advance(), AdvanceIntervalMs);
        return { taskAddress, serviceAddress };
    }

    close(): void {
        clearInterval(this.advanceTimer);
        runInBackground("close", this.taskPort.server.close());
        this.servicePort.server.close();
        this.servicePort.server.closeAllConnections();
    }

    /** Returns this worker's entry in the VM directory. */
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
        this.usageHistory.sample();
    }
}
