/** Parses a stored JSON object; undefined for any other text. */
export const parseObject = (text: string): Readonly<Record<string, unknown>> | undefined => {
    try {
        const value: unknown = JSON.parse(text);
        const isObject = typeof value === "object" && value !== null && !Array.isArray(value);
        return isObject ? (value as Readonly<Record<string, unknown>>) : undefined;
    } catch {
        return undefined;
    }
};
