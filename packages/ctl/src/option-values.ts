/** Option values of a command line that was validated against the command's options. */
export class OptionValues {
    private constructor(private readonly values: Readonly<Record<string, readonly string[]>>) {}

    static create(values: Readonly<Record<string, readonly string[]>>): OptionValues {
        return new OptionValues(values);
    }

    flag(name: string): boolean {
        return this.values[name] !== undefined;
    }

    list(name: string): readonly string[] {
        return this.values[name] ?? [];
    }

    text(name: string): string | undefined {
        return this.values[name]?.at(-1);
    }

    number(name: string): number | undefined {
        const text = this.text(name);
        return text === undefined ? undefined : Number(text);
    }

    /** Returns the value of a required option. Throws a `RangeError` if the option is absent. */
    required(name: string): string {
        const text = this.text(name);
        if (text === undefined) {
            throw new RangeError(`Option --${name} is read as required, but it is not marked so`);
        }
        return text;
    }
}
