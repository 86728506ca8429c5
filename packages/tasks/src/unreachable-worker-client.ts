import { CodedError } from "@samphireward/core/coded-error";
import { ResultCode } from "@samphireward/core/result-code";
import type { Result } from "ts-results-es";
import { Err } from "ts-results-es";
import { WorkerClient } from "./worker-client.js";

const refuse = <T>(): Promise<Result<T, CodedError>> =>
    Promise.resolve(
        Err(CodedError.create(ResultCode.NoTargetReachable, "The directory does not list the worker")),
    );

/**
 * Client for a worker that records refer to but the directory has not listed yet. Sends nothing; every call
 * fails.
 */
export class UnreachableWorkerClient extends WorkerClient {
    static create(): UnreachableWorkerClient {
        return new UnreachableWorkerClient();
    }

    override start = refuse<void>;
    override renew = refuse<never>;
    override stop = refuse<void>;
    override checkpoint = refuse<string>;
    override throttle = refuse<void>;
    override announceEpoch = refuse<void>;
    override tasks = refuse<never>;
    override usage = refuse<never>;
    override outcomes = refuse<never>;
    override acknowledge = refuse<void>;
}
