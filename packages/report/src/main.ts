#!/usr/bin/env node
import { ProcessTerminal } from "@samphireward/ctl/process-terminal";
import { runReport } from "./run-report.js";

process.exitCode = await runReport(process.argv.slice(2), ProcessTerminal.create());
