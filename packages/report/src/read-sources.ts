import { setTimeout as delay } from "node:timers/promises";
import { AddressSchema } from "@samphireward/core/address-schema";
import type { CodedError } from "@samphireward/core/coded-error";
import { AdminClient } from "@samphireward/ctl/admin-client";
import * as Schema from "effect/Schema";
import type { Result } from "ts-results-es";
import { MetricsSnapshot } from "./metrics-snapshot.js";
import { readFileSnapshots } from "./read-file-snapshots.js";

interface SourceReadings {
    readonly snapshots: readonly MetricsSnapshot[];
    readonly failures: readonly { readonly source: string; readonly error: CodedError }[];
}

interface ReadOptions {
    readonly token: string | undefined;
    readonly timeoutMs: number;
    /** Time between the two readings of each process; 0 for a single reading. */
    readonly intervalMs: number;
}

const isAddress = Schema.is(AddressSchema);

const fetchSnapshots = async (
    address: string,
    options: ReadOptions,
): Promise<Result<readonly MetricsSnapshot[], CodedError>> => {
    const client = AdminClient.create([address], options);
    const first = await client.get("/v1/metrics", MetricsSnapshot);
    if (first.isErr() || options.intervalMs === 0) {
        return first.map(snapshot => [snapshot]);
    }
    await delay(options.intervalMs);
    const second = await client.get("/v1/metrics", MetricsSnapshot);
    return second.map(snapshot => [first.value, snapshot]);
};

/** Reads all sources concurrently: addresses of administration ports and paths of saved files. */
export const readSources = async (
    sources: readonly string[],
    options: ReadOptions,
): Promise<SourceReadings> => {
    const results = await Promise.all(
        sources.map(async source => ({
            source,
            result: isAddress(source) ? await fetchSnapshots(source, options) : readFileSnapshots(source),
        })),
    );
    return {
        snapshots: results.flatMap(({ result }) => (result.isOk() ? result.value : [])),
        failures: results.flatMap(({ source, result }) =>
            result.isErr() ? [{ source, error: result.error }] : [],
        ),
    };
};
