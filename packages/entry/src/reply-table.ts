import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";

/** One call that waits for its answer on a stream. */
interface Waiting<T> {
    readonly resolve: (reply: T) => void;
    readonly reject: (err: CodedError) => void;
}

/** Matches answers on a stream with the calls that wait for them, by request id. */
export class ReplyTable<T> {
    private nextId = 1;
    private readonly waiting = new Map<number, Waiting<T>>();

    private constructor() {}

    static create<T>(): ReplyTable<T> {
        return new ReplyTable<T>();
    }

    /** Registers a call. The promise rejects with `OwnerUnreachable` when the stream ends before the answer. */
    open(): { readonly id: number; readonly reply: Promise<T> } {
        const id = this.nextId;
        this.nextId += 1;
        const reply = new Promise<T>((resolve, reject) => this.waiting.set(id, { resolve, reject }));
        return { id, reply };
    }

    /** Delivers an answer; an unknown or repeated id is ignored. */
    deliver(id: number, reply: T): void {
        this.waiting.get(id)?.resolve(reply);
        this.waiting.delete(id);
    }

    /** Fails one call because its answer did not come in time. */
    expire(id: number): void {
        const err = CodedError.create(ResultCode.OwnerUnreachable, "The cell's owner did not answer in time");
        this.waiting.get(id)?.reject(err);
        this.waiting.delete(id);
    }

    /** Fails all calls that wait. */
    failAll(): void {
        const err = CodedError.create(ResultCode.OwnerUnreachable, "The stream to the cell's owner ended");
        for (const { reject } of this.waiting.values()) {
            reject(err);
        }
        this.waiting.clear();
    }
}
