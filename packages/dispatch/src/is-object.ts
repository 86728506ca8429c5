/** Whether a decoded JSON value is an object or an array. */
export const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
    typeof value === "object" && value !== null;
