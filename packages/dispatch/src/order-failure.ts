/** Reason why an order was not carried out. */
export const OrderFailure = {
    /** The worker has seen a higher fencing token. */
    Fenced: "fenced",
    /** Another incarnation of the worker responded. */
    OtherIncarnation: "other-life",
    /** The worker refused the order and did nothing. */
    Refused: "refused",
    /** No response: the order may have been carried out. */
    Unknown: "unknown",
} as const;

export type OrderFailure = (typeof OrderFailure)[keyof typeof OrderFailure];
