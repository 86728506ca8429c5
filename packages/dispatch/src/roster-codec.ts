import { isObject } from "./is-object.js";
import { parseFields } from "./parse-fields.js";
import type { Roster } from "./roster.js";

/** Key of a placeholder for an unknown worker: it can never be read, so the owner has to wait for its lease to end. */
const UnknownWorkerKey = "unknown/0";

const unreadable: Roster = {
    lives: [UnknownWorkerKey],
    leaseMs: undefined,
    leasesMs: undefined,
    epoch: undefined,
};

const isLease = (value: unknown): value is number => typeof value === "number" && value > 0;

/** Decodes the remaining leases; undefined if they are missing or one of them is not valid. */
const decodeLeases = (value: unknown): ReadonlyMap<string, number> | undefined => {
    if (!isObject(value)) {
        return undefined;
    }
    const leases = Object.entries(value);
    const valid = leases.flatMap(([key, leaseMs]) => (isLease(leaseMs) ? [[key, leaseMs] as const] : []));
    return valid.length === leases.length ? new Map(valid) : undefined;
};

/** An entry that cannot be decoded may have listed any worker, so the next owner waits for the longest lease. */
const decode = (text: string): Roster => {
    const { lives, leaseMs, leasesMs, epoch } = parseFields(text);
    if (!Array.isArray(lives) || !lives.every(key => typeof key === "string")) {
        return unreadable;
    }
    return {
        lives,
        leaseMs: isLease(leaseMs) ? leaseMs : undefined,
        leasesMs: decodeLeases(leasesMs),
        epoch: typeof epoch === "number" ? epoch : undefined,
    };
};

/** Encodes and decodes the stored form of a roster. */
export const rosterCodec = {
    encode: ({ leasesMs, ...roster }: Roster): string =>
        JSON.stringify({ ...roster, leasesMs: leasesMs && Object.fromEntries(leasesMs) }),
    decode,
    /** Result for an entry that cannot be decoded. */
    unreadable,
};
