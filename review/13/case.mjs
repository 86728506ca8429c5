// A front-end machine freezes and wakes again. A client whose submission it got meanwhile has cancelled it in between.
import { join } from "node:path";
import { sleep } from "../standins-3/site.mjs";
import { runCase } from "../standins-3/run-case.mjs";

const Id = "00000000000000c2";
/** The freeze of the site lasts 3.5 s. */
const FreezeMs = 3_500;
/** Time budget of the client for its request. */
const BudgetMs = 3_000;
/** `cancel_ms` and `stop_timeout_ms` of the site. */
const CancelMs = 3_000;
const StopMs = 200;
/** One of ten machines freezes: not more than the share of 0.11 of the site. */
const NodeCount = 10;
/** Time without any disruption before the check, more than `contact_ms`. */
const CalmMs = 9_000;

const play = async (site, hasTrouble) => {
    await site.start(
        NodeCount,
        Array.from({ length: 8 }, (_, index) => ({ rack: `r1-${index}` })),
    );
    // A machine that carries clients' requests, not the owner of the cell.
    const owner = site.owner;
    const [frozen, other] = site.nodes.filter(node => node !== owner);
    if (hasTrouble) {
        site.signal(frozen, "SIGSTOP");
        setTimeout(() => site.signal(frozen, "SIGCONT"), FreezeMs);
        await sleep(100);
    }
    const step = { count: 6, cpu: 3_200, memory_request_mb: 6_400, estimated_ms: 500, long_running: true };
    const specification = `spec-${Id}`;
    site.submissions.set(Id, { id: Id, route: "watch", steps: [step], specification });
    const body = { specification, steps: [step] };
    const submitted = await site.call(frozen.front, "POST", `/watch/${Id}`, body, BudgetMs);
    site.note("submit", { id: Id, node: frozen.name, status: submitted.status });
    // Without an answer in its time, the client has no more use for the submission and cancels it at another machine.
    let cancelled = await site.cancel(Id, other);
    for (let attempt = 0; attempt < 5 && ![200, 410].includes(cancelled.status); attempt++) {
        await sleep(200);
        cancelled = await site.cancel(Id, other);
    }
    if (![200, 410].includes(cancelled.status)) {
        throw new Error("the cancelling was not acknowledged");
    }
    const acknowledgedAtMs = performance.now();
    await sleep(CalmMs);
    const sinceMs = Math.round(performance.now() - acknowledgedAtMs);
    const running = site.running().size;
    const { body: shown, status } = await site.state(Id, other);
    site.note("seen", { sinceMs, running, status, state: shown?.state });
    return running > 0 && sinceMs > CancelMs + StopMs
        ? `UNASKED: ${running} tasks run ${sinceMs} ms after the cancelling was answered ${cancelled.status}`
        : undefined;
};

await runCase(join(import.meta.dirname, "record.txt"), {}, play);
