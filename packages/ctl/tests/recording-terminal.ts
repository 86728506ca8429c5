import { Terminal } from "../src/terminal.js";

/** Records the output of a command and supplies a fixed standard input. */
export class RecordingTerminal extends Terminal {
    out = "";
    error = "";

    constructor(private readonly input = "") {
        super();
    }

    override writeOut(text: string): void {
        this.out += text;
    }

    override writeError(text: string): void {
        this.error += text;
    }

    override readInput(): Promise<string> {
        return Promise.resolve(this.input);
    }
}
