/** Kinds of orders that an owner sends to workers. */
export const OrderKind = {
    Start: "start",
    Stop: "stop",
    Pace: "pace",
} as const;

export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];
