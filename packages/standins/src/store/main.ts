#!/usr/bin/env node
import { parseArgs } from "node:util";
import { createLogger } from "@samphireward/core/create-logger";
import { loadSettings } from "@samphireward/core/load-settings";
import { ResultCode } from "@samphireward/core/result-code";
import { SystemClock } from "@samphireward/core/system-clock";
import { StoreServer } from "./store-server.js";
import { StoreSettingsSchema } from "./store-settings-schema.js";

const log = createLogger("standin-store");

const main = async (): Promise<void> => {
    const { values } = parseArgs({ options: { config: { type: "string" } } });
    const settings = loadSettings(values.config ?? "", StoreSettingsSchema);
    if (settings.isErr()) {
        log.error("settings are invalid", { code: ResultCode.SettingsInvalid, problems: settings.error });
        process.exitCode = 5;
        return;
    }
    const { listen } = settings.value;
    const [, host = "", port] = /^\[?([^\]]+)\]?:(\d+)$/.exec(listen) ?? [];
    const server = StoreServer.create(SystemClock.create());
    await server.listen(host, Number(port));
    log.info("listening", { listen });
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, () => server.close());
    }
};

await main();
