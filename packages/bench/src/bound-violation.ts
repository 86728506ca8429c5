/** A measure of one scenario that is past its bound. */
export interface BoundViolation {
    /** `bench > <user>/<scenario> > <measure>`, as KNOWN-RED.txt lists it. */
    readonly name: string;
    readonly message: string;
}
