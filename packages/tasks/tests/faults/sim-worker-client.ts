import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { WorkerModel } from "@samphireward/standins/worker/worker-model";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { StartCommand } from "../../src/start-command.js";
import type { AttemptRef } from "../../src/attempt-ref.js";
import { WorkerClient } from "../../src/worker-client.js";
import type { WorkerOutcome } from "../../src/worker-outcome.js";
import type { WorkerTasks } from "../../src/worker-tasks.js";
import type { WorkerUsage } from "../../src/worker-usage.js";
import { Mutant } from "./mutant.js";
import type { SimProcess } from "./sim-process.js";
import type { SimWorker } from "./sim-worker.js";
import type { Simulation } from "./simulation.js";

type Answer<T> = Promise<Result<T, CodedError>>;
type Command<T> = (model: WorkerModel) => Result<T, ResultCode>;

const cell = "herning-a/0";
const CallTimeoutMs = 1000;
/** Just below `deliveryMs` of the owner's timing. */
const MaxLateDelayMs = 900;

/** Worker client whose messages are lost, delayed, duplicated and reordered by the simulation. */
export class SimWorkerClient extends WorkerClient {
    private readonly epoch: number;

    private constructor(
        private readonly sim: Simulation,
        private readonly process: SimProcess,
        private readonly worker: SimWorker,
    ) {
        super();
        this.epoch = sim.mutant === Mutant.NoEpochFencing ? 1 : process.epoch;
    }

    static create(sim: Simulation, process: SimProcess, worker: SimWorker): SimWorkerClient {
        return new SimWorkerClient(sim, process, worker);
    }

    override start(command: StartCommand): Answer<void> {
        const payload = JSON.parse(command.payload) as { runMs: number };
        return this.call(model => model.start({ ...command, cell, epoch: this.epoch, payload }));
    }

    override renew(tasks: readonly AttemptRef[], leaseMs: number): Answer<readonly AttemptRef[]> {
        return this.call(model => model.renew(cell, this.epoch, leaseMs, tasks));
    }

    override stop(task: AttemptRef): Answer<void> {
        const answer = this.call(model => model.stop(cell, this.epoch, task));
        return this.sim.mutant === Mutant.ReleaseBeforeStop ? Promise.resolve(Ok.EMPTY) : answer;
    }

    override checkpoint(task: AttemptRef): Answer<string> {
        return this.call(model => model.checkpoint(cell, this.epoch, task));
    }

    override throttle(task: AttemptRef, share: number): Answer<void> {
        return this.call(model => model.throttle(cell, this.epoch, task, share));
    }

    override announceEpoch(): Answer<void> {
        return this.call(model => model.announceEpoch(cell, this.epoch));
    }

    override tasks(): Answer<WorkerTasks> {
        return this.call(model => {
            const tasks = model.tasks().map(task => ({ ...task, startedMsAgo: 0 }));
            const epoch = this.sim.mutant === Mutant.CutLooksLikeCrash ? 0 : model.epoch;
            return Ok({ epoch, tasks, outcomes: model.outcomes() });
        });
    }

    override usage(): Answer<WorkerUsage> {
        return this.call(() => Ok({ lagMs: 0, tasks: [], service: { slotsInUse: 0, p99Ms: 0 } }));
    }

    override async outcomes(): Answer<readonly WorkerOutcome[]> {
        const answer = await this.call<readonly WorkerOutcome[]>(model => Ok(model.outcomes()));
        if (this.sim.mutant === Mutant.AcknowledgeBeforeCommit && answer.isOk()) {
            void this.acknowledge(answer.value);
        }
        return answer;
    }

    override acknowledge(outcomes: readonly AttemptRef[]): Answer<void> {
        return this.call(model => {
            const held = model.outcomes();
            const result = model.acknowledge(cell, this.epoch, outcomes);
            for (const { key, attempt } of result.isOk() ? outcomes : []) {
                if (held.some(outcome => outcome.key === key && outcome.attempt === attempt)) {
                    this.worker.checker.acknowledged(key, attempt);
                }
            }
            return result;
        });
    }

    private call<T>(command: Command<T>): Answer<T> {
        const { sim, worker, process } = this;
        const fail = (code: ResultCode): Result<T, CodedError> => Err(CodedError.create(code, "simulated"));
        return new Promise(resolve => {
            const settle = (delayMs: number, result: Result<T, CodedError>): void =>
                sim.events.after(delayMs, () => process.deliver(() => resolve(result)));
            if (!worker.alive && sim.random.next() < 0.5) {
                settle(1, fail(ResultCode.NoTargetReachable));
                return;
            }
            settle(CallTimeoutMs, fail(ResultCode.DeadlinePassed));
            const delayMs = sim.drawDelay(CallTimeoutMs + MaxLateDelayMs);
            const { incarnation } = worker;
            const arrive = (answers: boolean): void => {
                if (worker.incarnation !== incarnation || !worker.alive || sim.isCut(process, worker)) {
                    return;
                }
                const result = sim.runAtWorker(worker, command);
                if (answers && !sim.drawFault() && !sim.isCut(process, worker)) {
                    settle(
                        sim.drawDelay(MaxLateDelayMs),
                        result.mapErr(code => CodedError.create(code, "refused")),
                    );
                }
            };
            if (!sim.drawFault()) {
                sim.events.after(delayMs, () => arrive(true));
            }
            if (sim.drawFault()) {
                sim.events.after(sim.drawDelay(MaxLateDelayMs), () => arrive(false));
            }
        });
    }
}
