import { isObject } from "./is-object.js";

/** Returns the fields of a stored JSON object; none if the text is not one. */
export const parseFields = (text: string): Readonly<Record<string, unknown>> => {
    try {
        const value: unknown = JSON.parse(text);
        return isObject(value) ? value : {};
    } catch {
        // The caller reports entries that it cannot decode, with their keys.
        return {};
    }
};
