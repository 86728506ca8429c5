import { ResultCode } from "@samphireward/core/result-code";
import type { HistoryEvent } from "./history-event.js";

type EventOfType<K extends HistoryEvent["type"]> = Extract<HistoryEvent, { type: K }>;

const eventsOfType = <K extends HistoryEvent["type"]>(
    history: readonly HistoryEvent[],
    type: K,
): EventOfType<K>[] => history.filter((event): event is EventOfType<K> => event.type === type);

const checkRecords = (history: readonly HistoryEvent[]): string[] => {
    const records = eventsOfType(history, "slot-written");
    const writers = new Map(records.map(record => [record.epoch, record.writer.split("#")[0]]));
    return records.flatMap((record, index) => {
        const before = records[index - 1];
        const problems: string[] = [];
        if (record.position !== (before?.position ?? 0) + 1) {
            problems.push(`position ${record.position} was written after ${before?.position}`);
        }
        if (record.epoch < (before?.epoch ?? 0)) {
            problems.push(`a record of epoch ${record.epoch} became durable after epoch ${before?.epoch}`);
        }
        if (writers.get(record.epoch) !== record.writer.split("#")[0]) {
            problems.push(`epoch ${record.epoch} has two owners`);
        }
        return problems;
    });
};

const checkEpochs = (history: readonly HistoryEvent[]): string[] => {
    const epochs = eventsOfType(history, "epoch-written").map(event => event.epoch);
    return epochs
        .filter((epoch, index) => epoch <= (epochs[index - 1] ?? 0))
        .map(epoch => `epoch ${epoch} was claimed after a higher or equal one`);
};

const checkFinal = (history: readonly HistoryEvent[]): string[] => {
    const final = eventsOfType(history, "final").at(-1);
    if (final?.ids === undefined) {
        return ["the last owner cannot read the log"];
    }
    const ids = new Set(final.ids);
    const problems = ids.size === final.ids.length ? [] : ["a transition is replayed twice"];
    for (const { id } of eventsOfType(history, "acknowledged").filter(event => !ids.has(event.id))) {
        problems.push(`acknowledged transition ${id} is lost`);
    }
    const notDurable: readonly number[] = [ResultCode.StaleEpoch, ResultCode.StoreUnavailable];
    const refused = eventsOfType(history, "refused").filter(event => notDurable.includes(event.code));
    for (const { id, code } of refused.filter(event => ids.has(event.id))) {
        problems.push(`transition ${id} was refused with ${code} and is replayed`);
    }
    for (const { epoch, ids: opened } of eventsOfType(history, "opened")) {
        if (opened.some((id, index) => id !== final.ids?.[index])) {
            problems.push(`the state replayed in epoch ${epoch} is no prefix of the last one`);
        }
    }
    return problems;
};

const checkGrants = (history: readonly HistoryEvent[]): string[] =>
    eventsOfType(history, "granting")
        .filter(event => event.processes.length > 1)
        .map(event => `${event.processes.join(" and ")} may grant at the same time`);

/**
 * Checks a history against the invariants of cell ownership and of the log, independently of their implementation.
 * Returns one text per violation.
 */
export const checkHistory = (history: readonly HistoryEvent[]): string[] => [
    ...checkRecords(history),
    ...checkEpochs(history),
    ...checkGrants(history),
    ...checkFinal(history),
];
