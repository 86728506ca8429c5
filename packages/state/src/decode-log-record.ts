import type { LogRecord } from "./log-record.js";
import { parseObject } from "./parse-object.js";

/** Decodes the value of a log slot; undefined if it is no record. Its transitions are not checked. */
export const decodeLogRecord = <T>(text: string): LogRecord<T> | undefined => {
    const { epoch, position, writer, transitions } = parseObject(text) ?? {};
    const isRecord =
        Number.isSafeInteger(epoch) &&
        Number.isSafeInteger(position) &&
        (position as number) > 0 &&
        typeof writer === "string" &&
        Array.isArray(transitions);
    return isRecord
        ? { epoch: epoch as number, position: position as number, writer, transitions: transitions as T[] }
        : undefined;
};
