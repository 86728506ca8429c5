// Runs a case and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
import { Site } from "./site.mjs";

/** Longest time of a case; the pages of the review allow 120 s. */
const MaxCaseMs = 110_000;

/** `play` gets the deployment and whether the disruption takes place; it returns what broke the rule, or undefined. */
export const runCase = async (recordPath, options, play) => {
    const site = new Site(recordPath, options);
    const hasTrouble = process.env.TROUBLE !== "0";
    const finish = (code, text) => {
        site.note("result", { code, text });
        process.stdout.write(`${text}\n`);
        site.close();
        process.exit(code);
    };
    process.on("SIGTERM", () => finish(2, "could not run: it was ended from outside"));
    process.on("SIGINT", () => finish(2, "could not run: it was ended from outside"));
    setTimeout(() => finish(2, "could not run: it took too long"), MaxCaseMs).unref();
    try {
        const broken = await play(site, hasTrouble);
        finish(broken === undefined ? 0 : 1, broken === undefined ? "the rule held" : `broken: ${broken}`);
    } catch (err) {
        finish(2, `could not run: ${err instanceof Error ? err.message : String(err)}`);
    }
};
