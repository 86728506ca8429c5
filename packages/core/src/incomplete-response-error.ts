/** A call that got no complete response. `code` is that of the underlying error, such as ECONNREFUSED. */
export class IncompleteResponseError extends Error {
    override readonly name = "IncompleteResponseError";

    private constructor(
        message: string,
        readonly code: string | undefined,
        /** Bytes of the response's body that had arrived. */
        readonly receivedBytes: number,
        cause: Error,
    ) {
        super(message, { cause });
    }

    static create(
        cause: Error & { readonly code?: unknown },
        receivedBytes: number,
    ): IncompleteResponseError {
        const code = typeof cause.code === "string" ? cause.code : undefined;
        return new IncompleteResponseError(cause.message, code, receivedBytes, cause);
    }
}
