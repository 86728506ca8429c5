import type { Command } from "./command.js";
import { ApplyCommand } from "./commands/apply.js";
import { CancelCommand } from "./commands/cancel.js";
import { CellsCommand } from "./commands/cells.js";
import { CheckCommand } from "./commands/check.js";
import { ConfigHistoryCommand } from "./commands/config-history.js";
import { ConfigShowCommand } from "./commands/config-show.js";
import { ExplainCommand } from "./commands/explain.js";
import { HealthCommand } from "./commands/health.js";
import { MembersCommand } from "./commands/members.js";
import { StatusCommand } from "./commands/status.js";
import { SubmitCommand } from "./commands/submit.js";
import { WhyCommand } from "./commands/why.js";
import { WorkerActionCommand } from "./commands/worker-action.js";

/** All commands, in the order in which `--help` lists them. */
export const allCommands: readonly Command[] = [
    ApplyCommand.create(),
    CheckCommand.create(),
    ConfigShowCommand.create(),
    ConfigHistoryCommand.create(),
    MembersCommand.create(),
    CellsCommand.create(),
    HealthCommand.create(),
    SubmitCommand.create(),
    ExplainCommand.create(),
    StatusCommand.create(),
    WhyCommand.create(),
    CancelCommand.create(),
    WorkerActionCommand.create("drain"),
    WorkerActionCommand.create("undrain"),
    WorkerActionCommand.create("quarantine"),
    WorkerActionCommand.create("release"),
];
