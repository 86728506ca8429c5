/** How an option's value is checked before a command runs. */
export const OptionKind = {
    Flag: "flag",
    Text: "text",
    /** Whole number of 0 or more. */
    Integer: "integer",
    /** Number of 0 or more. */
    Number: "number",
    /** IP number and port, as core's `AddressSchema` checks it. */
    Address: "address",
} as const;

export type OptionKind = (typeof OptionKind)[keyof typeof OptionKind];
