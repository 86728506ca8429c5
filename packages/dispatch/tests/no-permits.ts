import { PermitSource } from "../src/permit-source.js";

/** A permit service that never responds. */
export class NoPermits extends PermitSource {
    static create(): NoPermits {
        return new NoPermits();
    }

    override request(): Promise<undefined> {
        return Promise.resolve(undefined);
    }
}
