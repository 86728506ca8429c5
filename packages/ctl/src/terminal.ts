/** What a command line program reads and writes; replaced in tests. */
export abstract class Terminal {
    abstract writeOut(text: string): void;

    abstract writeError(text: string): void;

    /** The whole standard input as text. */
    abstract readInput(): Promise<string>;
}
