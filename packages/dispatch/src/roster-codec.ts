import { parseFields } from "./parse-fields.js";
import type { Roster } from "./roster.js";

/** Key of a placeholder for an unknown worker: it can never be read, so the owner has to wait for its lease to end. */
const UnknownWorkerKey = "unknown/0";

const unreadable: Roster = { lives: [UnknownWorkerKey], leaseMs: undefined };

/** An entry that cannot be decoded may have listed any worker, so the next owner waits for the longest lease. */
const decode = (text: string | undefined): Roster => {
    if (text === undefined) {
        return { lives: [], leaseMs: undefined };
    }
    const { lives, leaseMs } = parseFields(text);
    if (!Array.isArray(lives) || !lives.every(key => typeof key === "string")) {
        return unreadable;
    }
    const isValidLease = typeof leaseMs === "number" && leaseMs > 0;
    return { lives, leaseMs: isValidLease ? leaseMs : undefined };
};

/** Encodes and decodes the stored form of a roster. */
export const rosterCodec = {
    encode: (roster: Roster): string => JSON.stringify(roster),
    decode,
    /** Result for an entry that cannot be decoded. */
    unreadable,
};
