import { randomUUID } from "node:crypto";
import { hostname, userInfo } from "node:os";
import type { CodedError } from "@samphireward/core/coded-error";
import { ConfigDocument } from "@samphireward/core/config-document";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err, Ok } from "ts-results-es";
import type { CommandContext } from "../command-context.js";
import type { CommandResult } from "../command-result.js";
import { Command } from "../command.js";
import type { ConfigChange } from "../config-change.js";
import { ConfigWriter } from "../config-writer.js";
import { describeConflict } from "../describe-conflict.js";
import { OptionKind } from "../option-kind.js";
import { invalidTablesResult } from "../invalid-tables-result.js";
import { readTables } from "../read-tables.js";
import { RevisionWaiter } from "../revision-waiter.js";
import { tableOptions } from "../table-options.js";
import type { TableTexts } from "../table-texts.js";

/** Twice the time within which an accepted configuration takes effect in all processes (9 s). */
const DefaultWaitMs = 18_000;

const options = {
    ...tableOptions,
    "expect-revision": {
        kind: OptionKind.Integer,
        placeholder: "N",
        description:
            "Revision that the files were edited from; any other revision in force is a conflict. Default: the revision in force now.",
    },
    author: {
        kind: OptionKind.Text,
        placeholder: "NAME",
        description: "Name recorded with the change (default user@host).",
    },
    wait: {
        kind: OptionKind.Flag,
        placeholder: "",
        description: "Wait until all live members run the new revision; progress is on standard error.",
    },
    "wait-ms": {
        kind: OptionKind.Integer,
        placeholder: "MS",
        description: `Longest time for --wait (default ${DefaultWaitMs}).`,
    },
} as const;

/** `apply`: validates both tables, stores them under a new revision and optionally waits until it is in force. */
export class ApplyCommand extends Command {
    override readonly name = "apply";
    override readonly summary = "Check both tables and apply them under a new revision.";
    override readonly options = options;

    static create(): ApplyCommand {
        return new ApplyCommand();
    }

    override async run(context: CommandContext): Promise<Result<CommandResult, CodedError>> {
        const tables = readTables(context.options);
        if (tables.isErr()) {
            return Ok(invalidTablesResult(tables.error));
        }
        const base = await context.client.get("/v1/config", ConfigDocument);
        return base.isErr() ? Err(base.error) : this.applyTables(context, tables.value, base.value);
    }

    private async applyTables(
        context: CommandContext,
        tables: TableTexts,
        base: ConfigDocument,
    ): Promise<Result<CommandResult, CodedError>> {
        const change: ConfigChange = {
            ...tables,
            expectedRevision: context.options.number("expect-revision") ?? base.revision,
            changeId: randomUUID(),
            author: context.options.text("author") ?? `${userInfo().username}@${hostname()}`,
        };
        const written = await ConfigWriter.create(context.client, change).write();
        if (written.isErr()) {
            return Err(written.error);
        }
        const outcome = written.value;
        switch (outcome.kind) {
            case "conflict":
                return Ok(describeConflict(change, base, outcome.current));
            case "invalid":
                return Ok(invalidTablesResult(outcome.problems));
            case "applied":
                return Ok(await this.reportApplied(context, change, outcome.revision, outcome.foundById));
        }
    }

    private async reportApplied(
        context: CommandContext,
        change: ConfigChange,
        revision: number,
        foundById: boolean,
    ): Promise<CommandResult> {
        const foundNote = foundById ? " (the answer was lost; found by its change id)" : "";
        const applied = {
            code: ResultCode.TablesApplied,
            json: { revision, changeId: change.changeId, foundById },
            text: `Applied as revision ${revision}${foundNote}.`,
        };
        return context.options.flag("wait") ? this.waitUntilInForce(context, applied, revision) : applied;
    }

    private async waitUntilInForce(
        context: CommandContext,
        applied: CommandResult,
        revision: number,
    ): Promise<CommandResult> {
        const report = (line: string): void => context.terminal.writeError(`${line}\n`);
        const timeoutMs = context.options.number("wait-ms") ?? DefaultWaitMs;
        const outcome = await RevisionWaiter.create(context.client, revision, report).run(timeoutMs);
        const json = { ...applied.json, live: outcome.liveCount, lagging: outcome.lagging };
        if (outcome.isInForce) {
            const text = `${applied.text} It is in force in all ${outcome.liveCount} live members.`;
            return { code: applied.code, json, text };
        }
        const names = outcome.lagging.map(
            member => `${member.name} (${member.role}, ${member.dataCentre}, revision ${member.revision})`,
        );
        const text = `${applied.text} Not in force after ${timeoutMs} ms in: ${names.join(", ") || "unknown, no members were read"}`;
        return { code: ResultCode.ConfigNotInForce, json, text };
    }
}
