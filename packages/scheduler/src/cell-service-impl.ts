import type { ServiceImpl } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ProcessLogger } from "@samphireward/core/process-logger";
import { runInBackground } from "@samphireward/core/run-in-background";
import type { AttachRequest, CellService, Hello } from "@samphireward/protocol/gen/samphireward_pb";
import type { CellHost } from "./cell-host.js";
import type { CellSession } from "./cell-session.js";

/** Passes requests to a session until the entry process ends its side, then ends the session. */
const handleRequests = async (
    session: CellSession,
    requests: AsyncIterator<AttachRequest>,
): Promise<void> => {
    try {
        for (let next = await requests.next(); next.done !== true; next = await requests.next()) {
            session.handle(next.value);
        }
    } catch {
        // The connection was lost; the entry process attaches again.
    } finally {
        session.end();
    }
};

const readHello = async (requests: AsyncIterator<AttachRequest>): Promise<Hello> => {
    const first = await requests.next();
    if (first.done === true || first.value.body.case !== "hello") {
        throw new ConnectError("the first message must be a hello", Code.InvalidArgument);
    }
    return first.value.body.value;
};

/** Creates the handler of `CellService`: one stream for each entry process and cell. */
export const cellServiceImpl = (
    hosts: ReadonlyMap<string, CellHost>,
    log: () => ProcessLogger,
): ServiceImpl<typeof CellService> => ({
    async *attach(requests) {
        const iterator = requests[Symbol.asyncIterator]();
        const hello = await readHello(iterator);
        const owned = hosts.get(hello.cell)?.owned;
        if (owned === undefined) {
            throw new ConnectError(`cell ${hello.cell} is not owned here`, Code.FailedPrecondition);
        }
        const session = owned.attach(hello);
        runInBackground("cell requests", handleRequests(session, iterator), log());
        try {
            yield* session.messages();
        } finally {
            owned.detach(session);
        }
    },
});
