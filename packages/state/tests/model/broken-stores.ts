import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import type { KeyValueStore } from "../../src/key-value-store.js";
import { StoreErrorKind } from "../../src/store-error-kind.js";
import type { StoreError } from "../../src/store-error.js";

type Put = KeyValueStore["put"];

/** Wraps a connection and replaces its `put`. */
const withPut = (store: KeyValueStore, makePut: (put: Put) => Put): KeyValueStore => {
    const put = makePut(store.put.bind(store));
    return new Proxy(store, {
        get: (target, property) => {
            const value: unknown = property === "put" ? put : Reflect.get(target, property);
            return typeof value === "function" ? (value.bind(target) as unknown) : value;
        },
    });
};

/** Repeats a conflicting write with the current revision of the key. */
const unconditional =
    (put: Put, matches: (key: string) => boolean): Put =>
    async (key, value, ifRevision, leaseId) => {
        const first = await put(key, value, ifRevision, leaseId);
        const isConflict = first.isErr() && first.error.kind === StoreErrorKind.Conflict;
        return isConflict && matches(key)
            ? put(key, value, first.error.current?.revision ?? 0, leaseId)
            : first;
    };

const isSlot = (key: string): boolean => key.includes("/log/");

/** Faulty connections by name; each one makes the log of its owner use the store incorrectly. */
export const brokenStores: Readonly<Record<string, (store: KeyValueStore) => KeyValueStore>> = {
    "no fencing": store => withPut(store, put => unconditional(put, isSlot)),
    "no re-read after a lost response": store =>
        withPut(store, put => async (...args) => {
            const result: Result<number, StoreError> = await put(...args);
            const isLost = result.isErr() && result.error.kind === StoreErrorKind.MayBeApplied;
            return isLost ? Err({ ...result.error, kind: StoreErrorKind.NotApplied }) : result;
        }),
    "deleting slots": store =>
        withPut(store, put => async (key, value, ifRevision, leaseId) => {
            const result = await put(key, value, ifRevision, leaseId);
            if (result.isOk() && key.endsWith("/snapshot")) {
                const slots = await store.list(`${key.slice(0, -"snapshot".length)}log/`);
                const entries = slots.isOk() ? slots.value.entries : [];
                for (const entry of entries) {
                    await store.delete(entry.key, entry.revision);
                }
            }
            const isAbsent =
                result.isErr() &&
                result.error.kind === StoreErrorKind.Conflict &&
                result.error.current === undefined;
            return isAbsent && isSlot(key) ? put(key, value, 0, leaseId) : result;
        }),
    "snapshot without condition": store =>
        withPut(store, put => unconditional(put, key => key.endsWith("/snapshot"))),
};
