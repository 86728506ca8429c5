// A stand-in for a worker, written from PROTOCOL.md ("Running tasks" and "Service discovery").
import { createServer } from "node:http";

const CheckMs = 10;
const MaxListedEnds = 500;

/** Members of gangs that are present, over all workers. A gang works while all members of one run are present. */
export class GangRoom {
    gangs = new Map();

    constructor({ gangTimeoutMs }) {
        this.gangTimeoutMs = gangTimeoutMs;
    }

    static keyOf(run) {
        return `${run.task.slice(0, run.task.lastIndexOf("."))}/${run.number}`;
    }

    /** The checkpoint that the members present carry; undefined if none is present. */
    checkpointOf(run) {
        const [member] = this.gangs.get(GangRoom.keyOf(run)) ?? [];
        return member?.startCheckpoint;
    }

    join(run) {
        const key = GangRoom.keyOf(run);
        const members = this.gangs.get(key) ?? new Set();
        members.add(run);
        this.gangs.set(key, members);
        if (members.size === run.spec.count) {
            const nowMs = performance.now();
            members.forEach(member => (member.workingSinceMs = nowMs));
        }
    }

    /** Removes a member whose run has ended; the others end as well. */
    leave(run, endOfOthers) {
        const key = GangRoom.keyOf(run);
        const members = this.gangs.get(key);
        if (members === undefined || !members.has(run)) {
            return;
        }
        this.gangs.delete(key);
        members.delete(run);
        members.forEach(member => member.worker.end(member, endOfOthers));
    }
}

/** One worker, which may crash and start again under its id and address. */
export class Worker {
    isUp = false;
    isUnhealthy = false;
    life = 0;

    constructor({ id, deployment, specOf, bounds, gangs, capacity, labels = ["a", "r1-1"] }) {
        Object.assign(this, { id, deployment, specOf, bounds, gangs, capacity, labels });
    }

    static async create(options) {
        const worker = new Worker(options);
        await worker.start();
        worker.timer = setInterval(() => worker.check(), CheckMs);
        return worker;
    }

    /** Begins a lifetime: nothing runs and nothing is known of before. */
    async start() {
        this.life++;
        this.born = Date.now();
        this.zeroMs = performance.now() - 1_000;
        this.running = new Map();
        this.highest = new Map();
        this.ends = [];
        this.endedAtMs = new Map();
        this.lateCount = 0;
        this.endCount = 0;
        this.lastSeen = 0;
        this.token = 0;
        this.leaseEndsAtMs = 0;
        this.sockets = new Set();
        this.server = createServer((req, res) => this.handle(req, res));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            this.server.on("error", reject);
            this.server.listen(this.port ?? 0, "127.0.0.1", resolve);
        });
        this.port = this.server.address().port;
        this.isUp = true;
        this.register();
    }

    /** Writes the registration. */
    register() {
        this.deployment.store.put(`servers/${this.id}`, {
            service: "desk",
            address: `127.0.0.1:${this.port}`,
            zone: "zone-a",
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: this.capacity,
            labels: this.labels,
            clock_ms: this.clockMs(),
            sequence: this.life,
            born: this.born,
        });
    }

    /** Crashes: everything that runs is gone, and nothing is sent. Its connections stay open and silent, as those of a
     * machine that has lost power. */
    crash() {
        this.isUp = false;
        const runs = [...this.running.values()];
        this.running.clear();
        this.deployment.note(`${this.id} crashes with ${runs.length} runs`);
        runs.forEach(run => {
            this.deployment.note(`${this.id} loses ${run.task} run ${run.number}`);
            this.gangs?.leave(run, "broken");
        });
    }

    /** Starts again after a crash, under the same id and address. */
    async restart() {
        this.sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => this.server.close(resolve));
        await this.start();
        this.deployment.note(`${this.id} has started again`);
    }

    close() {
        clearInterval(this.timer);
        this.sockets.forEach(socket => socket.destroy());
        this.server.close();
    }

    clockMs() {
        return Math.floor(performance.now() - this.zeroMs);
    }

    /** Milliseconds of work that a run has behind it. */
    workedMs(run) {
        const sinceMs = run.workingSinceMs === undefined ? 0 : performance.now() - run.workingSinceMs;
        return run.restoredMs + Math.max(0, sinceMs - (run.restoredMs > 0 ? this.bounds.restore_ms : 0));
    }

    /** The newest checkpoint of a run: one for each full `checkpoint_s` of work, and the one that it started from. */
    savedOf(run) {
        if (!run.spec.checkpointing) {
            return "";
        }
        const stepMs = this.bounds.checkpoint_s * 1_000;
        const savedMs = Math.floor(this.workedMs(run) / stepMs) * stepMs;
        return savedMs <= run.restoredMs ? run.startCheckpoint : savedMs.toString(16).padStart(8, "0");
    }

    end(run, how) {
        if (this.running.get(run.task) !== run) {
            return;
        }
        this.running.delete(run.task);
        const saved = how === "done" ? "" : this.savedOf(run);
        this.ends.push([++this.endCount, run.task, run.number, how, saved]);
        this.endedAtMs.set(this.endCount, performance.now());
        this.deployment.note(`${this.id} ends ${run.task} run ${run.number}: ${how} saved=${saved}`);
        this.onEnd?.(run, how);
        this.gangs?.leave(run, how === "done" ? "done" : "broken");
    }

    check() {
        if (!this.isUp) {
            return;
        }
        const nowMs = performance.now();
        for (const run of [...this.running.values()]) {
            const waits = run.workingSinceMs === undefined;
            if (this.clockMs() > this.leaseEndsAtMs) {
                this.end(run, "lapsed");
            } else if (run.spec.gang && waits && nowMs - run.startedAtMs > this.gangs.gangTimeoutMs) {
                this.end(run, "alone");
            } else if (!waits && !run.spec.long_running && this.workedMs(run) >= run.spec.workMs) {
                this.end(run, "done");
            }
        }
    }

    async handle(req, res) {
        const chunks = [];
        for await (const chunk of req) {
            chunks.push(chunk);
        }
        if (!this.isUp) {
            return;
        }
        const text = Buffer.concat(chunks).toString();
        const body = text === "" ? {} : JSON.parse(text);
        const expected = req.headers["x-expected-instance"];
        let answer;
        if (expected !== undefined && expected !== this.id) {
            answer = { status: 421 };
        } else if (req.url === "/samphireward/run-start") {
            answer = this.startRun(body);
        } else if (req.url === "/samphireward/run-stop") {
            answer = this.stopRun(body);
        } else if (req.url === "/samphireward/pace") {
            answer = this.isFenced(body) ? { status: 409, reason: "fence" } : { status: 200 };
        } else if (req.url === "/samphireward/hold") {
            answer = await this.hold(body, res);
        } else {
            answer = { status: 404 };
        }
        if (answer.status === 0 || !this.isUp || res.destroyed) {
            return;
        }
        const { status, ...fields } = answer;
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify({ clock_ms: this.clockMs(), ...fields }));
    }

    isFenced({ fencing_token: token = 0 }) {
        this.token = Math.max(this.token, token);
        return token < this.token;
    }

    extendLease(deadlineMs = 0) {
        const shortened = Math.min(deadlineMs, this.clockMs() + this.bounds.max_hold_ms);
        this.leaseEndsAtMs = Math.max(this.leaseEndsAtMs, shortened);
    }

    startRun(body) {
        const answer = this.tryStart(body);
        const { task, run, checkpoint = "", fencing_token: token } = body;
        this.deployment.note(
            `${this.id} start ${task} run ${run} token ${token} checkpoint=${checkpoint}: ${answer.status} ${answer.reason ?? ""}`,
        );
        return answer;
    }

    tryStart({ task, run: number, deadline_ms: deadlineMs, checkpoint = "", ...body }) {
        if (this.isUnhealthy) {
            return { status: 503 };
        }
        if (this.isFenced(body)) {
            return { status: 409, reason: "fence" };
        }
        if (this.running.get(task)?.number === number) {
            return { status: 200 };
        }
        if (number <= (this.highest.get(task) ?? 0)) {
            this.extendLease(deadlineMs);
            return { status: 409, reason: "old" };
        }
        if (deadlineMs < this.clockMs()) {
            return { status: 409, reason: "late" };
        }
        const spec = this.specOf(task);
        const restoredMs = checkpoint === "" ? 0 : Number.parseInt(checkpoint, 16);
        const run = {
            worker: this,
            task,
            number,
            spec,
            restoredMs,
            startCheckpoint: checkpoint,
            startedAtMs: performance.now(),
        };
        if (spec.gang) {
            const present = this.gangs.checkpointOf(run);
            if (present !== undefined && present !== checkpoint) {
                // "All must carry the same value": this start is not a valid member of the gang.
                return { status: 400, reason: `checkpoint ${checkpoint} beside ${present}` };
            }
        }
        this.highest.set(task, number);
        this.extendLease(deadlineMs);
        this.running.set(task, run);
        if (spec.gang) {
            this.gangs.join(run);
        } else {
            run.workingSinceMs = performance.now();
        }
        this.onStart?.(run);
        return { status: 200 };
    }

    stopRun(body) {
        if (this.isFenced(body)) {
            return { status: 409, reason: "fence" };
        }
        const { task, run: number } = body;
        this.highest.set(task, Math.max(number, this.highest.get(task) ?? 0));
        const run = this.running.get(task);
        if (run?.number === number) {
            this.end(run, "stopped");
        }
        return { status: 200 };
    }

    /** Takes note of the ends up to a number: they are forgotten. */
    noteSeen(number) {
        if (number > this.lastSeen) {
            for (const [each] of this.ends) {
                const tookMs = performance.now() - this.endedAtMs.get(each);
                this.lateCount += each <= number && tookMs > this.bounds.acknowledge_ms ? 1 : 0;
            }
            this.lastSeen = number;
            this.ends = this.ends.filter(([each]) => each > number);
        }
    }

    /** Number of ends of this lifetime that were not taken note of within `acknowledge_ms`. */
    lateAcknowledgements(nowMs) {
        const { acknowledge_ms: boundMs } = this.bounds;
        return (
            this.lateCount + this.ends.filter(([each]) => nowMs - this.endedAtMs.get(each) > boundMs).length
        );
    }

    async hold(body, res) {
        if (this.isFenced(body)) {
            return { status: 409, reason: "fence" };
        }
        const { life } = this;
        this.extendLease(body.deadline_ms);
        this.noteSeen(body.last_seen ?? 0);
        const unseen = () => this.ends;
        const untilMs = performance.now() + (body.wait_ms ?? 0);
        while (
            unseen().length === 0 &&
            performance.now() < untilMs &&
            !res.destroyed &&
            this.life === life &&
            this.isUp
        ) {
            await new Promise(resolve => setTimeout(resolve, CheckMs));
        }
        const percentOf = run => Math.min(99, Math.floor((100 * this.workedMs(run)) / run.spec.workMs));
        return {
            status: 200,
            running: [...this.running.values()].map(run => [
                run.task,
                run.number,
                this.savedOf(run),
                run.spec.long_running ? 100 : percentOf(run),
                run.spec.gauge ?? 0,
            ]),
            ended: unseen().slice(0, MaxListedEnds),
            born: this.born,
        };
    }
}
