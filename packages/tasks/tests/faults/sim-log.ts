import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { SeededRandom } from "@samphireward/core/seeded-random";
import { TransitionLog } from "@samphireward/state/transition-log";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import { CellState } from "../../src/cell-state.js";
import { CellStateCodec } from "../../src/cell-state-codec.js";
import type { Transition } from "../../src/transition.js";
import { TransitionCodec } from "../../src/transition-codec.js";
import type { StateRow } from "../../src/state-row.js";
import type { TransitionRow } from "../../src/transition-row.js";
import type { EventQueue } from "./event-queue.js";
import { Mutant } from "./mutant.js";
import type { SimProcess } from "./sim-process.js";

/** The durable log of a cell. It can stall, refuse for a full queue, answer late, and depose an owner. */
export class SimLog {
    epoch = 0;
    stalled = false;
    /** Replay of all durable records. */
    readonly durable = CellState.create();
    readonly transitions: Transition[] = [];
    /** Called before a durable transition is applied. */
    onWritten: ((transition: Transition) => void) | undefined;
    private readonly blocked: (() => void)[] = [];

    private constructor(
        private readonly events: EventQueue,
        private readonly random: SeededRandom,
        private readonly faultRate: () => number,
        private readonly mutant: Mutant,
    ) {}

    static create(events: EventQueue, random: SeededRandom, faultRate: () => number, mutant: Mutant): SimLog {
        return new SimLog(events, random, faultRate, mutant);
    }

    /** Starts the epoch of a new owner; returns the state as the new owner reads it. */
    takeOver(): CellState {
        this.epoch += 1;
        const items = JSON.stringify(CellStateCodec.toItems(this.durable));
        return CellStateCodec.fromItems(JSON.parse(items) as StateRow[]);
    }

    handle(process: SimProcess): TransitionLog<Transition> {
        const append = (transitions: readonly Transition[]): Promise<Result<void, CodedError>> =>
            this.append(process, transitions);
        return new (class extends TransitionLog<Transition> {
            override append = append;
        })();
    }

    heal(): void {
        this.stalled = false;
        this.blocked.splice(0).forEach(run => run());
    }

    private append(
        process: SimProcess,
        transitions: readonly Transition[],
    ): Promise<Result<void, CodedError>> {
        const text = JSON.stringify(transitions.map(each => TransitionCodec.toRow(each)));
        return new Promise(resolve => {
            if (this.random.next() < this.faultRate() / 4) {
                const full = CodedError.create(ResultCode.StoreUnavailable, "the queue of the log is full");
                resolve(Err(full));
                return;
            }
            const confirmsEarly = this.mutant === Mutant.NoWriteAhead;
            if (confirmsEarly) {
                resolve(Ok.EMPTY);
            }
            const write = (): void => {
                // A process that was killed before it sent its write has written nothing.
                if (confirmsEarly && !process.alive) {
                    return;
                }
                const result = this.write(process, text);
                const answerMs = this.random.next() < this.faultRate() ? 3000 : 1 + this.random.below(20);
                this.events.after(answerMs, () =>
                    process.deliver(() => !confirmsEarly && resolve(this.hideResult(process, result))),
                );
            };
            const writeMs = confirmsEarly ? 400 : 1 + this.random.below(60);
            this.events.after(writeMs, () => (this.stalled ? this.blocked.push(write) : write()));
        });
    }

    /** Another owner's records can hide whether an append of this one was written. */
    private hideResult(process: SimProcess, result: Result<void, CodedError>): Result<void, CodedError> {
        const isHidden = process.epoch !== this.epoch && this.random.next() < 0.5;
        return isHidden
            ? Err(CodedError.create(ResultCode.OwnerUnreachable, "the result of the append is unknown"))
            : result;
    }

    private write(process: SimProcess, text: string): Result<void, CodedError> {
        if (process.epoch !== this.epoch && this.mutant !== Mutant.NoEpochFencing) {
            return Err(CodedError.create(ResultCode.StaleEpoch, "another owner has taken the log"));
        }
        for (const row of JSON.parse(text) as TransitionRow[]) {
            const transition = TransitionCodec.fromRow(row);
            if (transition.kind === "attempt-loss" && this.mutant === Mutant.NoDurableLosses) {
                continue;
            }
            this.onWritten?.(transition);
            this.durable.apply(transition);
            this.transitions.push(transition);
        }
        return Ok.EMPTY;
    }
}
