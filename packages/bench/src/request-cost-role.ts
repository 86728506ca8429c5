import { describeError } from "@samphireward/core/describe-error";
import { startBackEnd } from "./request-cost-back-end.js";
import { startHandler } from "./request-cost-handler.js";
import { runLoad } from "./request-cost-load.js";
import { startPassThrough } from "./request-cost-pass-through.js";

interface StartOptions {
    readonly role: "back-end" | "pass-through" | "handler" | "load";
    readonly ports: readonly number[];
    readonly slots: number;
    readonly serviceMs: number;
    readonly answerBytes: number;
}

const reply = (value: unknown): void => {
    process.send?.(value);
};

const start = async (options: StartOptions): Promise<void> => {
    const { role, ports, slots } = options;
    if (role === "back-end") {
        reply({ port: await startBackEnd(options) });
    } else if (role === "pass-through") {
        reply({ port: await startPassThrough(ports) });
    } else if (role === "handler") {
        reply({ port: await startHandler(ports, slots) });
    } else {
        reply({ port: 0 });
    }
};

const exitWithError = (err: unknown): void => {
    process.stderr.write(`${describeError(err)}\n`);
    process.exit(1);
};

process.on("disconnect", () => process.exit());
process.on("message", (message: { start?: StartOptions; load?: Parameters<typeof runLoad>[0] }) => {
    if (message.start !== undefined) {
        start(message.start).catch(exitWithError);
    } else if (message.load !== undefined) {
        runLoad(message.load).then(reply).catch(exitWithError);
    } else {
        const { user, system } = process.cpuUsage();
        reply({ processorUs: user + system, rssMb: process.memoryUsage.rss() / 1e6 });
    }
});
