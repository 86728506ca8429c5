/** Packs JSON texts, in order, into arrays of at most `limitBytes` each; a larger text gets an array of its own. */
export const packItems = (texts: readonly string[], limitBytes: number): string[] => {
    const parts: string[] = [];
    let part: string[] = [];
    let size = 2;
    for (const text of texts) {
        const bytes = Buffer.byteLength(text) + 1;
        if (part.length > 0 && size + bytes > limitBytes) {
            parts.push(`[${part.join(",")}]`);
            part = [];
            size = 2;
        }
        part.push(text);
        size += bytes;
    }
    return part.length > 0 ? [...parts, `[${part.join(",")}]`] : parts;
};
