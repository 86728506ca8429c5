/** Keys of one cell in the store. */
export class CellKeys {
    private constructor(private readonly prefix: string) {}

    /** `cell` is the cell's name, such as `herning-a/0`. */
    static create(cell: string): CellKeys {
        return new CellKeys(`cell/${cell}`);
    }

    get owner(): string {
        return `${this.prefix}/owner`;
    }

    /** Permanent key of the highest epoch that any process has claimed. */
    get epoch(): string {
        return `${this.prefix}/epoch`;
    }

    get logPrefix(): string {
        return `${this.prefix}/log/`;
    }

    slot(index: number): string {
        return `${this.logPrefix}${index}`;
    }

    get snapshot(): string {
        return `${this.prefix}/snapshot`;
    }

    get snapshotPartPrefix(): string {
        return `${this.snapshot}/`;
    }
}
