import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";

/** A call that waits for its reply. */
interface PendingCall<T> {
    readonly resolve: (reply: T) => void;
    readonly reject: (err: CodedError) => void;
}

/** Matches the replies on a stream to the calls that wait for them, by request id. */
export class PendingCalls<T> {
    private nextId = 1;
    private readonly pending = new Map<number, PendingCall<T>>();

    private constructor() {}

    static create<T>(): PendingCalls<T> {
        return new PendingCalls<T>();
    }

    /** Registers a call. The promise rejects with `OwnerUnreachable` on a timeout and when the stream ends first. */
    register(): { readonly id: number; readonly reply: Promise<T> } {
        const id = this.nextId;
        this.nextId += 1;
        const reply = new Promise<T>((resolve, reject) => this.pending.set(id, { resolve, reject }));
        return { id, reply };
    }

    /** Resolves a call with its reply; an unknown or repeated id is ignored. */
    complete(id: number, reply: T): void {
        this.pending.get(id)?.resolve(reply);
        this.pending.delete(id);
    }

    /** Rejects one call because its reply did not arrive in time. */
    failTimedOut(id: number): void {
        const err = CodedError.create(ResultCode.OwnerUnreachable, "The cell's owner did not answer in time");
        this.pending.get(id)?.reject(err);
        this.pending.delete(id);
    }

    /** Rejects all pending calls because the stream has ended. */
    failAll(): void {
        const err = CodedError.create(ResultCode.OwnerUnreachable, "The stream to the cell's owner ended");
        for (const { reject } of this.pending.values()) {
            reject(err);
        }
        this.pending.clear();
    }
}
