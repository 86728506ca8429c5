/** Standard streams of a command-line program; replaced in tests. */
export abstract class Terminal {
    abstract writeOut(text: string): void;

    abstract writeError(text: string): void;

    /** Reads standard input to its end as text. */
    abstract readInput(): Promise<string>;
}
