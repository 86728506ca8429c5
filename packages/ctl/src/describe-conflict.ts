import type { ConfigDocument } from "@samphireward/core/config-document";
import { ResultCode } from "@samphireward/core/result-code";
import { createTwoFilesPatch } from "diff";
import type { CommandResult } from "./command-result.js";
import type { ConfigChange } from "./config-change.js";
import { formatTime } from "./format-time.js";
import type { TableTexts } from "./table-texts.js";

const DiffContextLines = 2;

interface LabelledTables extends TableTexts {
    readonly label: string;
}

const diffTables = (from: LabelledTables, to: LabelledTables): string =>
    (["routes", "pools"] as const)
        .filter(table => from[table] !== to[table])
        .map(table =>
            createTwoFilesPatch(
                `${table} ${from.label}`,
                `${table} ${to.label}`,
                from[table],
                to[table],
                undefined,
                undefined,
                { context: DiffContextLines },
            ),
        )
        .map(patch => patch.replace(/^=+\n/, "").trimEnd())
        .join("\n");

/**
 * Describes who changed the tables and how. If `base` is the expected revision, the line diff shows the other
 * operator's change; otherwise it shows the difference from the tables in force to the caller's tables.
 */
export const describeConflict = (
    change: ConfigChange,
    base: ConfigDocument,
    current: ConfigDocument,
): CommandResult => {
    const { routes, pools, ...metadata } = current;
    const inForce: LabelledTables = { label: `at revision ${current.revision}`, routes, pools };
    const isBaseKnown = base.revision === change.expectedRevision;
    const diff = isBaseKnown
        ? diffTables({ ...base, label: `at revision ${base.revision}` }, inForce)
        : diffTables(inForce, { ...change, label: "of this change" });
    const diffTitle = isBaseKnown ? "What changed" : "From the tables in force to this change";
    const summary =
        `Expected revision ${change.expectedRevision}, but revision ${current.revision} is in force: ` +
        `${current.author} changed the tables at ${formatTime(current.timeMs)} (change id ${current.changeId}).`;
    return {
        code: ResultCode.ConfigConflict,
        json: { expectedRevision: change.expectedRevision, current: metadata, diff },
        text: `${summary}\nNothing was applied. ${diffTitle}:\n${diff || "(the tables are equal)"}`,
    };
};
