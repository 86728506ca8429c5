import { CodedError } from "@samphireward/core/coded-error";
import type { JsonRequest } from "@samphireward/core/json-request";
import { JsonServer } from "@samphireward/core/json-server";
import { ResultCode } from "@samphireward/core/result-code";
import type { CellDirectory } from "./cell-directory.js";
import type { CellOwner } from "./cell-owner.js";
import type { JobWriter } from "./job-writer.js";

/** Creates the server for calls between processes of the system, most of which concern cells that this process owns. */
export const createPeerServer = (cells: CellDirectory, writer: JobWriter): JsonServer => {
    const ownerOf = (req: JsonRequest): CellOwner => {
        const owner = cells.get(Number(req.params["cell"]))?.owner;
        if (owner === undefined) {
            throw CodedError.create(
                ResultCode.NoCellOwner,
                `This process does not own cell ${req.params["cell"]}`,
            );
        }
        return owner;
    };
    return JsonServer.create()
        .on("GET", "/cells/:cell/jobs/:id", req => ({
            status: 200,
            body: ownerOf(req).scheduler.jobs.get(req.params["id"] ?? "")?.status ?? {},
        }))
        .on("GET", "/cells/:cell/queues/:queue", req => ({
            status: 200,
            body: { waiting: ownerOf(req).scheduler.jobs.countUnstarted(req.params["queue"] ?? "") },
        }))
        .on("POST", "/cells/:cell/jobs/:id/cancelled", req => {
            ownerOf(req).jobCancelled(req.params["id"] ?? "");
            return { status: 200, body: {} };
        })
        .on("POST", "/cells/:cell/jobs/:id/accept", async req => {
            const { text } = req.body as { readonly text: string };
            const outcome = await writer.accept(Number(req.params["cell"]), req.params["id"] ?? "", text);
            return { status: 200, body: { outcome } };
        });
};
