import type { EffectsSnapshot } from "@samphireward/jobs/effects-snapshot";
import { isObject } from "./is-object.js";
import type { LogRecord } from "./log-record.js";
import type { MemberRecord } from "./member-record.js";
import type { OwnerRecord } from "./owner-record.js";
import { parseFields } from "./parse-fields.js";

const isString = (value: unknown): value is string => typeof value === "string";
const isNonNegativeInteger = (value: unknown): value is number =>
    Number.isSafeInteger(value) && (value as number) >= 0;
const isFiniteNumber = (value: unknown): value is number =>
    typeof value === "number" && Number.isFinite(value);

const decodeOwner = (text: string): OwnerRecord | undefined => {
    const { node, life, address, epoch } = parseFields(text);
    return isString(node) && isString(life) && isString(address) && isNonNegativeInteger(epoch)
        ? { node, life, address, epoch }
        : undefined;
};

const decodeLog = (text: string): LogRecord | undefined => {
    const { epoch, sequence } = parseFields(text);
    return isNonNegativeInteger(epoch) && isNonNegativeInteger(sequence) ? { epoch, sequence } : undefined;
};

/** Decodes the epoch of a takeover. */
const decodeTakeover = (text: string): number | undefined => {
    const { epoch } = parseFields(text);
    return isNonNegativeInteger(epoch) ? epoch : undefined;
};

const decodeMember = (text: string): MemberRecord | undefined => {
    const { address } = parseFields(text);
    return isString(address) ? { address } : undefined;
};

const decodeCells = (text: string): number | undefined => {
    const { cells } = parseFields(text);
    return isNonNegativeInteger(cells) && cells > 0 ? cells : undefined;
};

/** Whether a value is a triple of filler image, effect and variance. */
const isPairEffect = (pair: unknown): boolean =>
    Array.isArray(pair) && isString(pair[0]) && isFiniteNumber(pair[1]) && isFiniteNumber(pair[2]);

const isListOf = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
    Array.isArray(value) && value.every(isItem);

const decodeEffects = (text: string): EffectsSnapshot | undefined => {
    const { headrooms, pairs } = parseFields(text);
    const isValid =
        isObject(headrooms) &&
        Object.values(headrooms).every(isFiniteNumber) &&
        isObject(pairs) &&
        Object.values(pairs).every(list => isListOf(list, isPairEffect));
    return isValid
        ? {
              headrooms: headrooms as EffectsSnapshot["headrooms"],
              pairs: pairs as EffectsSnapshot["pairs"],
          }
        : undefined;
};

/** Decoders of small stored values. Malformed values and values of other versions decode to undefined. */
export const storedRecords = {
    decodeOwner,
    decodeLog,
    decodeTakeover,
    decodeMember,
    decodeCells,
    decodeEffects,
} as const;
