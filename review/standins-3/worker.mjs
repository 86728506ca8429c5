// A stand-in for a worker, written from "Running tasks" and "Service discovery" in PROTOCOL.md.
import { createServer } from "node:http";

const TickMs = 10;
const MaxListedEnds = 500;

export class Worker {
    /** `world` keeps the record, the submissions and the members of gangs; see site.mjs. */
    constructor(world, index, { rack, cpu = 16_000, memoryMb = 62_500, gpus = 0, labels = [] }) {
        Object.assign(this, { world, index, cpu, memoryMb, gpus });
        this.id = `i-${String(index).padStart(8, "0")}`;
        this.labels = ["kind-a", rack, ...labels];
        this.state = "up";
        this.sequence = 0;
        this.sockets = new Set();
        this.begin();
    }

    begin() {
        this.born = Date.now();
        this.zeroMs = performance.now();
        this.token = 0;
        this.leaseMs = 0;
        this.runs = new Map();
        this.used = new Map();
        this.ends = [];
        this.endCount = 0;
        this.seen = 0;
        this.sequence = 0;
        this.isDraining = false;
    }

    async listen() {
        this.server = createServer((req, res) => {
            this.handle(req, res).catch(() => res.destroy());
        });
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            if (this.state === "down") {
                socket.resetAndDestroy();
                return;
            }
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.timer = setInterval(() => this.tick(), TickMs);
    }

    close() {
        clearInterval(this.timer);
        this.server.close();
        this.server.closeAllConnections();
    }

    clockMs() {
        return Math.floor(performance.now() - this.zeroMs);
    }

    entry() {
        const { world, address } = this;
        return {
            service: world.service,
            address,
            zone: "zone-a",
            version: "v1",
            slots: 8,
            state: this.isDraining ? "draining" : "ready",
            cold_remaining_ms: 0,
            sequence: ++this.sequence,
            capacity: { cpu: this.cpu, memory_request_mb: this.memoryMb, gpus: this.gpus },
            labels: this.labels,
            clock_ms: this.clockMs(),
            born: this.born,
        };
    }

    /** The worker crashes: what runs here ends, and what it knows is forgotten. */
    crash() {
        this.state = "down";
        this.world.note("worker-crash", { worker: this.id, tasks: [...this.runs.keys()] });
        for (const run of this.runs.values()) {
            this.world.runGone(this, run, "lost");
        }
        this.runs.clear();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }

    /** The worker starts again under its id. */
    restart() {
        this.begin();
        this.state = "up";
        this.world.note("worker-start", { worker: this.id, born: this.born });
        this.world.register(this);
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        const { born } = this;
        if (this.state !== "up" || this.isCut) {
            return;
        }
        if ((req.headers["x-expected-instance"] ?? this.id) !== this.id) {
            this.send(res, 421, {});
            return;
        }
        const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
        const lateMs = this.world.lateOrder(this, req.url);
        if (lateMs > 0) {
            setTimeout(() => {
                if (this.state === "up") {
                    this.world.note("order-late", { worker: this.id, call: req.url, task: body.task });
                    this.carryOut(req.url, { ...body, wait_ms: 0 });
                }
            }, lateMs);
            return;
        }
        const { status, answer } = await this.carryOut(req.url, body, res);
        if (this.state === "up" && !this.isCut && this.born === born) {
            this.send(res, status, answer);
        }
    }

    send(res, status, answer) {
        const text = JSON.stringify({ clock_ms: this.clockMs(), ...answer });
        res.writeHead(status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
        });
        res.end(text);
    }

    async carryOut(path, body, res) {
        const token = body.fencing_token ?? 0;
        if (token < this.token) {
            return { status: 409, answer: { reason: "fence" } };
        }
        this.token = token;
        switch (path) {
            case "/samphireward/run-start":
                return this.start(body);
            case "/samphireward/run-stop":
                return this.stop(body);
            case "/samphireward/pace":
                return this.pace(body);
            case "/samphireward/hold":
                return this.hold(body, res);
            default:
                return { status: 404, answer: {} };
        }
    }

    extend(deadlineMs) {
        if (deadlineMs !== undefined) {
            const limitMs = this.clockMs() + this.world.maxHoldMs;
            this.leaseMs = Math.max(this.leaseMs, Math.min(deadlineMs, limitMs));
        }
    }

    start(body) {
        const { task, run } = body;
        const existing = this.runs.get(task);
        if (existing?.run === run) {
            return { status: 200, answer: {} };
        }
        if (run <= (this.used.get(task) ?? 0) || (existing !== undefined && run <= existing.run)) {
            this.extend(body.deadline_ms);
            return { status: 409, answer: { reason: "old" } };
        }
        if (body.deadline_ms <= this.clockMs()) {
            return { status: 409, answer: { reason: "late" } };
        }
        if (!this.world.allows(this, task, body.ticket)) {
            return { status: 409, answer: { reason: "ticket" } };
        }
        this.extend(body.deadline_ms);
        const spec = this.world.specOf(task);
        const workedMs = body.checkpoint ? Number.parseInt(body.checkpoint, 16) : 0;
        const started = {
            task,
            run,
            spec,
            workedMs,
            saved: body.checkpoint ?? "",
            savedAtMs: workedMs,
            percent: 100,
            startedAtMs: performance.now(),
            waitMs: body.checkpoint ? this.world.restoreMs : 0,
            isStopping: false,
        };
        this.runs.set(task, started);
        this.world.runStarted(this, started, body);
        return { status: 200, answer: {} };
    }

    stop({ task, run }) {
        this.used.set(task, Math.max(run, this.used.get(task) ?? 0));
        const existing = this.runs.get(task);
        if (existing?.run === run && !existing.isStopping) {
            existing.isStopping = true;
            setTimeout(() => {
                if (this.runs.get(task) === existing) {
                    this.end(existing, "stopped");
                }
            }, this.world.stopMs / 2);
        }
        return { status: 200, answer: {} };
    }

    pace({ task, run, percent }) {
        const existing = this.runs.get(task);
        if (existing?.run === run) {
            existing.percent = percent;
        }
        return { status: 200, answer: {} };
    }

    async hold(body, res) {
        this.extend(body.deadline_ms);
        if (body.last_seen > this.seen) {
            this.world.endsNoted(this, body.last_seen);
            this.seen = body.last_seen;
            this.ends = this.ends.filter(end => end[0] > this.seen);
        }
        const untilMs = performance.now() + (body.wait_ms ?? 0);
        const { born } = this;
        while (
            this.ends.length === 0 &&
            performance.now() < untilMs &&
            this.born === born &&
            !res?.destroyed
        ) {
            await new Promise(resolve => setTimeout(resolve, TickMs));
        }
        const running = [...this.runs.values()].map(run => [
            run.task,
            run.run,
            run.saved,
            this.progress(run),
            run.spec.target_ms ? 1 : (run.spec.cpu ?? 0),
        ]);
        return {
            status: 200,
            answer: { running, ended: this.ends.slice(0, MaxListedEnds), born: this.born },
        };
    }

    progress(run) {
        if (run.spec.long_running) {
            return performance.now() - run.startedAtMs > this.world.startupMs ? 100 : 0;
        }
        return Math.min(99, Math.floor((100 * run.workedMs) / run.spec.work_ms));
    }

    end(run, how) {
        if (!this.runs.delete(run.task)) {
            return;
        }
        this.used.set(run.task, Math.max(run.run, this.used.get(run.task) ?? 0));
        const saved =
            run.spec.checkpointing && how === "stopped" ? Math.floor(run.workedMs).toString(16) : run.saved;
        this.ends.push([++this.endCount, run.task, run.run, how, run.spec.checkpointing ? saved : ""]);
        this.world.runGone(this, run, how, this.endCount);
    }

    tick() {
        if (this.state !== "up") {
            return;
        }
        const nowMs = performance.now();
        const stepMs = Math.max(0, nowMs - (this.tickedMs ?? nowMs));
        this.tickedMs = nowMs;
        const isLapsed = this.clockMs() > this.leaseMs;
        if (isLapsed && !this.wasLapsed) {
            this.world.note("lease-over", { worker: this.id, born: this.born });
        }
        this.wasLapsed = isLapsed;
        if (isLapsed) {
            [...this.runs.values()].forEach(run => this.end(run, "lapsed"));
            return;
        }
        for (const run of [...this.runs.values()]) {
            if (run.spec.gang && !this.world.gangIsComplete(this, run)) {
                if (nowMs - run.startedAtMs > this.world.gangTimeoutMs) {
                    this.end(run, "alone");
                }
                continue;
            }
            if (run.isStopping || nowMs - run.startedAtMs < run.waitMs) {
                continue;
            }
            run.workedMs += (stepMs * run.percent) / 100;
            if (run.spec.checkpointing && run.workedMs - run.savedAtMs >= this.world.checkpointMs) {
                run.savedAtMs = run.workedMs;
                run.saved = Math.floor(run.workedMs).toString(16);
            }
            if (!run.spec.long_running && run.workedMs >= run.spec.work_ms) {
                const how = this.world.outcomeOf(this, run);
                if (run.spec.gang) {
                    this.world.endGang(run, how);
                } else {
                    this.end(run, how);
                }
            }
        }
    }
}
