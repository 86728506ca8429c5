/** What happens to a transaction: it is answered, refused, applied without an answer, or applied later without one. */
export type TransactionFate = "answer" | "refuse" | "lose-answer" | "hold";
