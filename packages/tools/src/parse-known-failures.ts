import type { KnownFailure } from "./known-failure.js";

/** Parses KNOWN-RED.txt. Each entry is one line, `test | command and seed | seen | issue`; `#` starts a comment. */
export const parseKnownFailures = (text: string): KnownFailure[] =>
    text
        .split("\n")
        .map(line => line.trim())
        .filter(line => line !== "" && !line.startsWith("#"))
        .map(line => ({ test: (line.split("|")[0] ?? "").trim(), line }));
