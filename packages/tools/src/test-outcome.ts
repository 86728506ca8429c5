/** Result of one assertion group of a test file. */
export interface TestOutcome {
    /** `<file> > <test>` */
    readonly test: string;
    readonly passed: boolean;
    /** Failure details in TAP's YAML form; empty when passed. */
    readonly diagnostic: string;
}
