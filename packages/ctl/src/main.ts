#!/usr/bin/env node
import { ProcessTerminal } from "./process-terminal.js";
import { runCtl } from "./run-ctl.js";

process.exitCode = await runCtl(process.argv.slice(2), ProcessTerminal.create());
