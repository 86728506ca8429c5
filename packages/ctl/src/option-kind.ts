/** Kind of an option's value; determines how the value is validated before a command runs. */
export const OptionKind = {
    Flag: "flag",
    Text: "text",
    /** Integer of 0 or more. */
    Integer: "integer",
    /** Number of 0 or more. */
    Number: "number",
    /** IP address and port, validated by core's `AddressSchema`. */
    Address: "address",
} as const;

export type OptionKind = (typeof OptionKind)[keyof typeof OptionKind];
