import { rendezvousPick } from "./rendezvous-pick.js";

/** Name of a cell: a data centre and an index, written `herning-a/0`. */
export class CellName {
    private constructor(
        readonly dataCentre: string,
        readonly index: number,
    ) {}

    static create(dataCentre: string, index: number): CellName {
        return new CellName(dataCentre, index);
    }

    /** Parses `herning-a/0`. Throws a `SyntaxError` for any other format. */
    static parse(text: string): CellName {
        const match = /^([a-z0-9-]+)\/(\d+)$/.exec(text);
        if (match?.[1] === undefined) {
            throw new SyntaxError(`"${text}" is not a cell name such as "herning-a/0"`);
        }
        return new CellName(match[1], Number(match[2]));
    }

    /** Returns the cell that a rack belongs to, in a data centre that is divided into `cells` cells. */
    static ofRack(dataCentre: string, rack: string, cells: number): CellName {
        const names = Array.from({ length: cells }, (_, index) => `${dataCentre}/${index}`);
        return CellName.parse(rendezvousPick(rack, names) ?? `${dataCentre}/0`);
    }

    toString(): string {
        return `${this.dataCentre}/${this.index}`;
    }
}
