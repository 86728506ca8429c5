#!/usr/bin/env node
import { createLogger } from "@samphireward/core/create-logger";
import { waitForStopSignal } from "@samphireward/core/wait-for-stop-signal";
import { readCliSettings } from "@samphireward/core/read-cli-settings";
import { SystemClock } from "@samphireward/core/system-clock";
import { StoreServer } from "./store-server.js";
import { StoreSettingsSchema } from "./store-settings-schema.js";

const log = createLogger("standin-store");
const { listen } = readCliSettings("samphireward-standin-store", StoreSettingsSchema);
const server = StoreServer.create(SystemClock.create());
await server.listen(listen);
log.info("listening", { listen });
await waitForStopSignal();
server.close();
