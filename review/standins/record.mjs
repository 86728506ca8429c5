import { writeFileSync, appendFileSync } from "node:fs";

/** Writes what was sent, answered and run to a text file, one line an event, with the time since the start. */
export class CaseRecord {
    constructor(path) {
        this.path = path;
        this.startedAtMs = performance.now();
        writeFileSync(path, "");
    }

    get nowMs() {
        return performance.now() - this.startedAtMs;
    }

    write(event, fields = {}) {
        const time = (this.nowMs / 1_000).toFixed(3).padStart(8);
        appendFileSync(this.path, `${time} ${event} ${JSON.stringify(fields)}\n`);
    }

    /** Writes a line that is also shown on standard output. */
    say(event, fields = {}) {
        this.write(event, fields);
        console.log(`${event} ${JSON.stringify(fields)}`);
    }
}
