import type { CodedError } from "@samphireward/core/coded-error";
import type { AppendOptions } from "@samphireward/state/append-options";
import { TransitionLog } from "@samphireward/state/transition-log";
import type { Transition } from "@samphireward/tasks/transition";
import { TransitionCodec } from "@samphireward/tasks/transition-codec";
import type { Result } from "ts-results-es";
import type { LogRow } from "./log-row.js";

/** Stores a cell's transitions in a log of compact rows. */
export class EncodedTransitionLog extends TransitionLog<Transition> {
    private constructor(private readonly rows: TransitionLog<LogRow>) {
        super();
    }

    static create(rows: TransitionLog<LogRow>): EncodedTransitionLog {
        return new EncodedTransitionLog(rows);
    }

    override append(
        transitions: readonly Transition[],
        options?: AppendOptions,
    ): Promise<Result<void, CodedError>> {
        const rows = transitions.map(transition => TransitionCodec.toRow(transition));
        return this.rows.append(rows, options);
    }
}
