/** A result of one scenario that violates its bound. */
export interface BoundViolation {
    /** `bench > <user>/<scenario> > <measure>`, as KNOWN-RED.txt lists it. */
    readonly name: string;
    readonly message: string;
}
