import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import type { ProcessUsage } from "./process-usage.js";

/** Clock ticks per second in /proc/<pid>/stat (`getconf CLK_TCK`). */
const TicksPerSecond = 100;

/** Reads processor time and memory from /proc (proc(5)), and asks the process, which preloads `count-bytes`, for its bytes. */
export const readProcessUsage = async (child: ChildProcess): Promise<ProcessUsage> => {
    const { pid } = child;
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The second field, the program's name, is enclosed in parentheses and may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    const rssKb = Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? 0);
    child.send("count bytes");
    const [bytes] = (await once(child, "message")) as [{ read: number; written: number }];
    return {
        cpuMs: (ticks * 1000) / TicksPerSecond,
        rssMb: rssKb / 1024,
        bytesRead: bytes.read,
        bytesWritten: bytes.written,
    };
};
