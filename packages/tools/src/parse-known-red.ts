import type { KnownRed } from "./known-red.js";

/** Parses KNOWN-RED.txt. Each entry is one line, `test | command and seed | seen | issue`; `#` starts a comment. */
export const parseKnownRed = (text: string): KnownRed[] =>
    text
        .split("\n")
        .map(line => line.trim())
        .filter(line => line !== "" && !line.startsWith("#"))
        .map(line => ({ test: (line.split("|")[0] ?? "").trim(), line }));
