#!/usr/bin/env -S node --max-semi-space-size=2
import { waitForStopSignal } from "@samphireward/core/wait-for-stop-signal";
import { readCliSettings } from "@samphireward/core/read-cli-settings";
import { SchedulerProcess } from "./scheduler-process.js";
import { SchedulerSettings } from "./scheduler-settings.js";

const scheduler = SchedulerProcess.create(readCliSettings("samphireward-scheduler", SchedulerSettings));
await scheduler.start();
await waitForStopSignal();
await scheduler.stop();
