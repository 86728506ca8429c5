import { createJsonServer, listenOn } from "./http.mjs";

const TickMs = 10;
const MaxHoldMs = 6_000;
const StopMs = 50;
const StartupMs = 500;
const HeartbeatMs = 1_500;
const MaxListedEnds = 500;

/**
 * A worker: fence numbers, run numbers, a lease on its own clock, and ends that are listed until they are taken note of.
 * A task's specification is JSON text: `ms` is its duration, and `fails` makes each of its runs end as `failed`. Tasks
 * without `ms` last.
 */
export class WorkerStandin {
    address = "";
    /** Decides about a call before it is handled: "serve", "busy" (503, nothing is done) or "lost" (no answer, nothing done). */
    treat = () => "serve";
    running = new Map();
    highestRuns = new Map();
    ends = [];
    endCount = 0;
    fence = 0;
    lastSeen = 0;
    leaseEndsAtMs = 0;
    isUp = true;
    sockets = new Set();
    waiters = new Set();

    constructor(id, { store, record, service, labels, capacity }) {
        Object.assign(this, { id, store, record, service, labels, capacity });
        this.born = Date.now();
        this.bornAtMs = performance.now();
    }

    static async create(id, options) {
        const worker = new WorkerStandin(id, options);
        worker.server = createJsonServer(call => worker.handle(call));
        worker.server.on("connection", socket => {
            worker.sockets.add(socket);
            socket.on("close", () => worker.sockets.delete(socket));
            if (!worker.isUp) {
                socket.destroy();
            }
        });
        worker.address = await listenOn(worker.server, "127.0.0.1");
        worker.timer = setInterval(() => worker.tick(), TickMs);
        worker.register();
        worker.heartbeatTimer = setInterval(() => worker.register(), HeartbeatMs);
        return worker;
    }

    get clockMs() {
        return Math.floor(performance.now() - this.bornAtMs) + 1_000;
    }

    register() {
        if (!this.isUp) {
            return;
        }
        this.sequence = (this.sequence ?? 0) + 1;
        this.store.put(`servers/${this.id}`, {
            service: this.service,
            address: this.address,
            zone: "zone-a",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: this.capacity,
            labels: this.labels,
            clock_ms: this.clockMs,
            sequence: this.sequence,
            born: this.born,
        });
    }

    /** Ends at once, with all that runs here; nothing is answered until `restart`. */
    crash() {
        this.isUp = false;
        this.record.write("worker-crashed", { worker: this.id, runs: [...this.running.keys()] });
        this.running.clear();
        this.sockets.forEach(socket => socket.destroy());
    }

    /** A new life under the same id and address, which knows nothing of the one before. */
    restart() {
        this.highestRuns.clear();
        this.ends = [];
        this.endCount = 0;
        this.fence = 0;
        this.lastSeen = 0;
        this.leaseEndsAtMs = 0;
        this.sequence = 0;
        this.born = Date.now();
        this.bornAtMs = performance.now();
        this.isUp = true;
        this.record.write("worker-restarted", { worker: this.id });
        this.register();
    }

    close() {
        clearInterval(this.timer);
        clearInterval(this.heartbeatTimer);
        this.server.close();
        this.server.closeAllConnections();
    }

    answer(status, body = {}) {
        return { status, body: { clock_ms: this.clockMs, born: this.born, ...body } };
    }

    handle({ url, headers, body }) {
        const call = url.pathname.replace("/samphireward/", "");
        if (!this.isUp) {
            return undefined;
        }
        const treatment = this.treat(call, body);
        if (treatment === "lost") {
            return undefined;
        }
        if (treatment === "busy") {
            this.record.write("call-refused", { worker: this.id, call, task: body.task, status: 503 });
            return this.answer(503);
        }
        const expected = headers["x-expected-instance"];
        if (expected !== undefined && expected !== this.id) {
            return this.answer(421);
        }
        if (body.fencing_token !== undefined) {
            if (body.fencing_token < this.fence) {
                return this.answer(409, { reason: "fence" });
            }
            this.fence = body.fencing_token;
        }
        switch (call) {
            case "run-start":
                return this.start(body);
            case "run-stop":
                return this.stop(body);
            case "hold":
                return this.hold(body);
            case "pace":
                return this.answer(200);
            default:
                return this.answer(400);
        }
    }

    extendLease(deadlineMs) {
        if (deadlineMs !== undefined) {
            const limitMs = this.clockMs + MaxHoldMs;
            this.leaseEndsAtMs = Math.max(this.leaseEndsAtMs, Math.min(deadlineMs, limitMs));
        }
    }

    start(body) {
        const { task, run, specification, deadline_ms: deadlineMs, fencing_token: fence } = body;
        if (this.running.get(task)?.run === run) {
            return this.answer(200);
        }
        if (run <= (this.highestRuns.get(task) ?? 0)) {
            this.extendLease(deadlineMs);
            return this.answer(409, { reason: "old" });
        }
        if (deadlineMs < this.clockMs) {
            return this.answer(409, { reason: "late" });
        }
        this.extendLease(deadlineMs);
        this.highestRuns.set(task, run);
        const { ms, fails = false } = JSON.parse(specification);
        this.running.set(task, { run, ms, fails, startedAtMs: performance.now() });
        this.record.write("run-started", { worker: this.id, task, run, fence });
        this.onChange?.("started", task, run);
        return this.answer(200);
    }

    stop({ task, run, fencing_token: fence }) {
        this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
        if (this.running.get(task)?.run === run) {
            this.record.write("run-stop", { worker: this.id, task, run, fence });
            setTimeout(() => this.end(task, run, "stopped"), StopMs);
        }
        return this.answer(200);
    }

    async hold({ fencing_token: fence, last_seen: lastSeen, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }) {
        this.extendLease(deadlineMs);
        this.onHold?.(fence, deadlineMs);
        if (lastSeen > this.lastSeen) {
            this.ends
                .filter(([number]) => number > this.lastSeen && number <= lastSeen)
                .forEach(([, task, run, how]) => {
                    this.record.write("end-noted", { worker: this.id, task, run, how, fence });
                    this.onNoted?.(how, task, run);
                });
            this.lastSeen = lastSeen;
            this.ends = this.ends.filter(([number]) => number > lastSeen);
        }
        const untilMs = performance.now() + waitMs;
        while (this.ends.length === 0 && performance.now() < untilMs) {
            await new Promise(resolve => {
                const timer = setTimeout(resolve, untilMs - performance.now());
                this.waiters.add(() => {
                    clearTimeout(timer);
                    resolve();
                });
            });
        }
        const running = [...this.running].map(([task, each]) => [
            task,
            each.run,
            "",
            this.percentOf(each),
            0,
        ]);
        return this.answer(200, { running, ended: this.ends.slice(0, MaxListedEnds) });
    }

    percentOf({ ms, startedAtMs }) {
        const tookMs = performance.now() - startedAtMs;
        return Math.min(100, Math.floor((100 * tookMs) / (ms ?? StartupMs)));
    }

    end(task, run, how) {
        if (this.running.get(task)?.run !== run) {
            return;
        }
        this.running.delete(task);
        this.ends.push([++this.endCount, task, run, how, ""]);
        this.record.write("run-ended", { worker: this.id, task, run, how });
        this.onChange?.(how, task, run);
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(wake => wake());
    }

    tick() {
        if (!this.isUp) {
            return;
        }
        const nowMs = performance.now();
        const hasLapsed = this.clockMs > this.leaseEndsAtMs;
        for (const [task, { run, ms, fails, startedAtMs }] of [...this.running]) {
            if (hasLapsed) {
                this.end(task, run, "lapsed");
            } else if (ms !== undefined && nowMs - startedAtMs >= ms) {
                this.end(task, run, fails ? "failed" : "done");
            }
        }
    }
}
