#!/usr/bin/env node
import { CodedError } from "@samphireward/core/coded-error";
import { JsonServer } from "@samphireward/core/json-server";
import { waitForStopSignal } from "@samphireward/core/wait-for-stop-signal";
import { readCliSettings } from "@samphireward/core/read-cli-settings";
import { ResultCode } from "@samphireward/core/result-code";
import { SystemClock } from "@samphireward/core/system-clock";
import * as SchemaParser from "effect/SchemaParser";
import { DirectorySettings } from "./directory-settings.js";
import { VmDirectory } from "./vm-directory.js";
import { VmRecord } from "./vm-record.js";

const decodeVm = (body: unknown): VmRecord => {
    const decoded = SchemaParser.decodeUnknownResult(VmRecord)(body);
    if (decoded._tag === "Failure") {
        throw CodedError.create(ResultCode.BadRequest, "The body is not a VM record");
    }
    return decoded.success;
};

const cfg = readCliSettings("samphireward-standin-directory", DirectorySettings);
const directory = VmDirectory.create(SystemClock.create(), cfg.lag);
const server = JsonServer.create()
    .on("GET", "/v1/vms", () => ({ status: 200, body: { vms: directory.list() } }))
    .on("POST", "/v1/vms", ({ body }) => {
        directory.put(decodeVm(body));
        return { status: 200, body: {} };
    })
    .on("DELETE", "/v1/vms/:name", ({ params }) => {
        directory.remove(params["name"] ?? "");
        return { status: 200, body: {} };
    })
    .on("POST", "/v1/vms/:name/leaving", ({ params }) => {
        const known = directory.markLeaving(params["name"] ?? "");
        return { status: known ? 200 : 404, body: {} };
    });
await server.listen(cfg.listen);
await waitForStopSignal();
await server.close();
