/** One entry of KNOWN-RED.txt: a test that fails because of a defect that is not fixed yet. */
export interface KnownFailure {
    /** Full name of the test as the runner prints it: `<file> > <test>`. */
    readonly test: string;
    /** The whole line of the entry, without surrounding white space. */
    readonly line: string;
}
