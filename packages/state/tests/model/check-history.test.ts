import { ResultCode } from "@samphireward/core/result-code";
import t from "tap";
import { checkHistory } from "./check-history.js";
import type { HistoryEvent } from "./history-event.js";

const slot = (position: number, epoch: number, writer = `p#${epoch}`): HistoryEvent => ({
    type: "slot-written",
    position,
    epoch,
    writer,
});
const final = (...ids: number[]): HistoryEvent => ({ type: "final", ids });
const refused = (id: number, code: number): HistoryEvent => ({ type: "refused", id, code });

// Guards against a checker that accepts a violation which none of the broken owners causes.
t.test("reports each kind of violation", t => {
    const valid: HistoryEvent[][] = [
        [slot(1, 1), slot(2, 1), slot(3, 2), { type: "acknowledged", id: 1 }, final(1)],
        [refused(1, ResultCode.OwnerUnreachable), final(1)],
        [refused(1, ResultCode.StaleEpoch), { type: "opened", epoch: 1, ids: [2] }, final(2, 3)],
    ];
    const invalid: { problem: RegExp; history: HistoryEvent[] }[] = [
        { problem: /position 3 was written after 1/, history: [slot(1, 1), slot(3, 1), final()] },
        { problem: /position 1 was written after 1/, history: [slot(1, 1), slot(1, 2), final()] },
        { problem: /epoch 1 became durable after epoch 2/, history: [slot(1, 2), slot(2, 1), final()] },
        { problem: /two owners/, history: [slot(1, 1, "a#1"), slot(2, 1, "b#1"), final()] },
        {
            problem: /epoch 2 was claimed/,
            history: [{ type: "epoch-written", epoch: 2 }, { type: "epoch-written", epoch: 2 }, final()],
        },
        { problem: /same time/, history: [{ type: "granting", processes: ["a", "b"] }, final()] },
        { problem: /cannot read/, history: [{ type: "final", ids: undefined }] },
        { problem: /replayed twice/, history: [final(1, 1)] },
        {
            problem: /acknowledged transition 1 is lost/,
            history: [{ type: "acknowledged", id: 1 }, final(2)],
        },
        { problem: /refused with 2201/, history: [refused(1, ResultCode.StaleEpoch), final(1)] },
        { problem: /refused with 2004/, history: [refused(1, ResultCode.StoreUnavailable), final(1)] },
        { problem: /no prefix/, history: [{ type: "opened", epoch: 1, ids: [2] }, final(1, 2)] },
    ];
    valid.forEach(history => t.strictSame(checkHistory(history), []));
    invalid.forEach(({ problem, history }) => t.match(checkHistory(history).join(), problem));
    t.end();
});
