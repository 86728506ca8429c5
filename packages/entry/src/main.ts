#!/usr/bin/env -S node --max-semi-space-size=2
import { waitForStopSignal } from "@samphireward/core/wait-for-stop-signal";
import { readCliSettings } from "@samphireward/core/read-cli-settings";
import { EntryProcess } from "./entry-process.js";
import { EntrySettings } from "./entry-settings.js";

const entry = EntryProcess.create(readCliSettings("samphireward-entry", EntrySettings));
await entry.start();
await Promise.race([waitForStopSignal(), entry.failed]);
await entry.stop();
