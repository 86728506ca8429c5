import { AddressSchema } from "@samphireward/core/address-schema";
import * as Schema from "effect/Schema";
import { OptionKind } from "./option-kind.js";
import type { OptionSpec } from "./option-spec.js";

const isAddress = Schema.is(AddressSchema);

const describeExpected = (spec: OptionSpec, value: string): string | undefined => {
    if (spec.choices !== undefined && !spec.choices.includes(value)) {
        return `one of ${spec.choices.join(", ")}`;
    }
    switch (spec.kind) {
        case OptionKind.Address:
            return isAddress(value) ? undefined : `an IP number and a port, such as 127.0.0.1:7000`;
        case OptionKind.Integer:
            return /^\d{1,15}$/.test(value) ? undefined : "a whole number of 0 or more";
        case OptionKind.Number:
            return /^\d{1,15}(\.\d+)?$/.test(value) ? undefined : "a number of 0 or more";
        case OptionKind.Flag:
        case OptionKind.Text:
            return undefined;
    }
};

/** Returns an error message if the value is not valid for the option, otherwise `undefined`. */
export const validateOption = (name: string, spec: OptionSpec, value: string): string | undefined => {
    const expected = describeExpected(spec, value);
    return expected === undefined ? undefined : `Expected ${expected} for --${name}, got "${value}"`;
};
