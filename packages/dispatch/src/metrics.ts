import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets, in seconds. */
const LatencyBucketsS = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];
/** Upper bounds of the buckets for the processor time of one step of work, in seconds. */
const PlanBucketsS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1];

/** Counters, gauges and latency histograms of a process, in the Prometheus text format. */
export class Metrics {
    private readonly registry = new Registry();
    /** Requests of callers by method and status. */
    readonly requests = this.counter("requests_total", "Requests of callers", ["method", "status"]);
    /** Time to respond to a caller. */
    readonly requestSeconds = this.histogram("request_seconds", "Time to answer a caller", ["method"]);
    /** Start orders by outcome. */
    readonly starts = this.counter("starts_total", "Start orders", ["outcome"]);
    /** Time until a worker responded to a start order. */
    readonly startSeconds = this.histogram("start_seconds", "Time until a worker answered a start order", []);
    /** Stop orders by outcome. */
    readonly stops = this.counter("stops_total", "Stop orders", ["outcome"]);
    /** Runs for which a stop was ordered, each counted once for a reason. */
    readonly runsStopped = this.counter(
        "runs_stopped_total",
        "Runs that were stopped by order, by the reason of the order",
        ["reason"],
    );
    /** Heartbeats to workers by outcome. */
    readonly heartbeats = this.counter("heartbeats_total", "Heartbeats to workers", ["outcome"]);
    /** Time of an answered heartbeat beyond the wait that the worker was asked for. */
    readonly heartbeatSeconds = this.histogram(
        "heartbeat_seconds",
        "Time of an answered heartbeat beyond the wait that was asked for; 0 if it was answered earlier",
        [],
    );
    /** Workers of the owned cells by whether their last call was answered. */
    readonly workers = this.gauge(
        "workers",
        "Workers of the owned cells; reachable: answered the last heartbeat",
        ["cell", "state"],
    );
    /** Runs that ended as lapsed, by how the owner learned of it. */
    readonly runsLapsed = this.counter("runs_lapsed_total", "Runs that lapsed, by the reason of their end", [
        "reason",
    ]);
    /** Ends that a worker listed and that were not applied to their tasks, by how the run ended. */
    readonly endsIgnored = this.counter("ends_ignored_total", "Listed ends that were not applied, by kind", [
        "kind",
    ]);
    /** Changes of the suspicion that a task crashes its workers, by their reason. */
    readonly suspicionChanges = this.counter(
        "suspicion_changes_total",
        "Changes of the suspicion that a task crashes its workers, by reason",
        ["reason"],
    );
    /** Speculative copies that were started or found, and how they ended. */
    readonly copies = this.counter("copies_total", "Speculative copies of tasks, by outcome", ["outcome"]);
    /** Processor time of runs whose task was done by another run, or of copies that did not end as done. */
    readonly copyWastedProcessorSeconds = this.counter(
        "copy_wasted_processor_seconds_total",
        "Reserved processor time of copies that were of no use, and of originals that a copy overtook",
        [],
    );
    /** Stored jobs that an owner did not take up, by why. */
    readonly jobsSetAside = this.counter(
        "jobs_set_aside_total",
        "Stored jobs that an owner did not take up",
        ["reason"],
    );
    /** Jobs by final state. */
    readonly jobsEnded = this.counter("jobs_ended_total", "Jobs by final state", ["queue", "state"]);
    /** Jobs that ended as failed, by what ended them. */
    readonly jobsFailed = this.counter("jobs_failed_total", "Jobs that ended as failed, by cause", ["cause"]);
    /** Time from a job's arrival to its final state. */
    readonly jobSeconds = this.histogram("job_seconds", "Time from arrival to final state", ["queue"]);
    /** Calls to the store by call and result. */
    readonly storeCalls = this.counter("store_calls_total", "Calls to the metadata store", [
        "call",
        "result",
    ]);
    /** Duration of a call to the store, except watches. */
    readonly storeSeconds = this.histogram("store_seconds", "Time of a call to the metadata store", []);
    /** Bytes received in responses of the store, by whether the response was complete. */
    readonly storeReceivedBytes = this.counter(
        "store_received_bytes_total",
        "Bytes of responses of the metadata store, complete or not",
        ["use"],
    );
    /** Cells that this process claimed, lost and released. */
    readonly ownership = this.counter("cell_ownership_total", "Cells claimed, lost and released", ["event"]);
    /** Cells of the layout in force; 0 until it has been read. */
    readonly layoutCells = this.gauge("layout_cells", "Cells of the layout in force", []);
    /** Cells that this process owns. */
    readonly ownedCells = this.gauge("owned_cells", "Cells that this process owns", []);
    /** Time in which the owner of a cell planned its orders. */
    readonly planSeconds = this.histogram("plan_seconds", "Time of a plan of a cell", [], PlanBucketsS);
    /** Longest time by which a timer of a cell's owner was late in the last second. */
    readonly ownerLagSeconds = this.gauge(
        "owner_lag_seconds",
        "Longest lateness of a timer of a cell's owner in the last second",
        ["cell"],
    );
    /** Runs that are left in a data centre that is being evacuated. */
    readonly evacuatingRuns = this.gauge(
        "evacuating_runs",
        "Runs that are left in a data centre that is being evacuated",
        ["cell", "data_centre"],
    );
    /** Tasks that wait, by the priority of their queue and the rule that gave them their place in the start order. */
    readonly waitingTasks = this.gauge(
        "waiting_tasks",
        "Tasks that end and have no worker, by priority of their queue and rule of the start order",
        ["cell", "priority", "rule"],
    );
    /** Open jobs whose target time has passed. */
    readonly lateJobs = this.gauge("late_jobs", "Open jobs whose target time has passed", [
        "cell",
        "priority",
    ]);
    /** Jobs that were refused because their results could not be of use. */
    readonly jobsRefused = this.counter(
        "jobs_refused_total",
        "Jobs that were refused because their results could not be of use",
        ["priority"],
    );
    /** Reported waits of lasting tasks. */
    readonly lastingWaits = this.counter(
        "lasting_waits_total",
        "Reported waits of lasting tasks for a run, by reason",
        ["reason"],
    );
    /** Requests refused and connections closed because a client exceeded a limit, by server and reason. */
    readonly clientRefusals = this.counter(
        "client_refusals_total",
        "Requests refused and connections closed because a client exceeded a limit",
        ["server", "reason"],
    );
    /** Log lines that were dropped because of the rate limit. */
    readonly droppedLines = this.counter("log_lines_dropped_total", "Log lines over the limit", []);

    private constructor() {}

    static create(): Metrics {
        return new Metrics();
    }

    /** All metrics in the text format. */
    text(): Promise<string> {
        return this.registry.metrics();
    }

    get contentType(): string {
        return this.registry.contentType;
    }

    private counter(name: string, help: string, labelNames: string[]): Counter {
        return new Counter({ name: `samphireward_${name}`, help, labelNames, registers: [this.registry] });
    }

    private gauge(name: string, help: string, labelNames: string[]): Gauge {
        return new Gauge({ name: `samphireward_${name}`, help, labelNames, registers: [this.registry] });
    }

    private histogram(
        name: string,
        help: string,
        labelNames: string[],
        buckets: number[] = LatencyBucketsS,
    ): Histogram {
        return new Histogram({
            name: `samphireward_${name}`,
            help,
            labelNames,
            buckets,
            registers: [this.registry],
        });
    }
}
