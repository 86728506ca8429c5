import { parseObject } from "./parse-object.js";
import type { SnapshotManifest } from "./snapshot-manifest.js";

/** Decodes the value of a cell's snapshot key; undefined if it is no manifest. */
export const decodeSnapshotManifest = <S>(text: string): SnapshotManifest<S> | undefined => {
    const { epoch, position, writer, items, parts } = parseObject(text) ?? {};
    const isManifest =
        Number.isSafeInteger(epoch) &&
        Number.isSafeInteger(position) &&
        typeof writer === "string" &&
        Array.isArray(items) &&
        Array.isArray(parts) &&
        parts.every(part => typeof part === "string");
    return isManifest
        ? {
              epoch: epoch as number,
              position: position as number,
              writer,
              items: items as S[],
              parts,
          }
        : undefined;
};
