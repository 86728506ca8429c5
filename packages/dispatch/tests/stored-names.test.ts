import { ManualClock } from "@samphireward/core/manual-clock";
import { CellScheduler } from "@samphireward/jobs/cell-scheduler";
import { cellLimits } from "@samphireward/jobs/fixtures/cell-limits";
import { readProgress } from "@samphireward/jobs/read-progress";
import t from "tap";
import { jobCodec } from "../src/job-codec.js";
import { rosterCodec } from "../src/roster-codec.js";
import { storedRecords } from "../src/stored-records.js";

const id = "00000000000000aa";

/** Texts as earlier builds stored them, and as this one does, with every field. */
const stored = {
    job:
        `{"v":1,"spec":{"id":"${id}","queue":"q","payload":"p","steps":[{"count":3,"resources":{"processors":0.5,` +
        '"memoryMb":64,"accelerators":1},"estimatedMs":400,"after":[],"checkpoints":true,"gang":true,' +
        '"sameRack":true,"requiredLabel":"l","preferredRack":"r1","maxPerWorker":2,"speculative":true,' +
        '"lasting":false,"image":"i","tailTargetMs":0,"filler":false,"maxUnavailable":1}],' +
        '"schedule":{"occurrences":2,"firstAtMs":1000,"intervalMs":5000000},"arrivedAtMs":7}}',
    progress:
        '{"v":1,"progress":{"endedAtMs":0,"hasStarted":true,"nextOccurrence":1,"open":[{"number":0,"steps":' +
        '[{"doneBits":"100","marks":[{"index":1,"failedRuns":[1,2],"lastRun":3,"checkpoint":"c"}]}]}]}}',
    suspected:
        '{"v":1,"progress":{"endedAtMs":0,"hasStarted":true,"nextOccurrence":1,"open":[{"number":0,"steps":' +
        '[{"doneBits":"000","marks":[{"index":0,"failedRuns":[],"lastRun":1,"checkpoint":"","suspicion":2,' +
        '"suspectWorker":"w1/1"}]}]}]}}',
    crashes:
        '{"v":1,"progress":{"endedAtMs":0,"hasStarted":true,"nextOccurrence":1,"open":[{"number":0,"steps":' +
        '[{"doneBits":"000","marks":[{"index":0,"failedRuns":[],"lastRun":1,"checkpoint":"","suspicion":2,' +
        '"crashes":{"count":3,"minAgeMs":0,"maxAgeMs":120,"chance":0.004},' +
        '"lostWorkers":[{"worker":"w2/1","address":"a2:1"}],"suspectWorker":"w1/1","suspectAddress":"a1:1"}]}]}]}}',
    crashed:
        '{"v":1,"progress":{"endState":"failed","endReason":"worker-crashes","endedAtMs":9,"hasStarted":true,' +
        '"nextOccurrence":2,"open":[]}}',
    failedByAttempts:
        '{"v":1,"progress":{"endState":"failed","failure":{"cause":"attempts","task":"0.0.1","failedRuns":2,' +
        '"limit":2,"configVersion":9},"endedAtMs":9,"hasStarted":true,"nextOccurrence":2,"open":[]}}',
    failedByCrashes:
        '{"v":1,"progress":{"endState":"failed","endReason":"worker-crashes","failure":{"cause":"worker-crashes",' +
        '"task":"0.0.1","crashedWorkers":[{"worker":"w1/1","proof":"replaced"},{"worker":"w2/2",' +
        '"proof":"inherited"}],"inheritedCrashes":1},"endedAtMs":9,"hasStarted":true,"nextOccurrence":2,"open":[]}}',
    ended: '{"v":1,"progress":{"endState":"failed","endedAtMs":9,"hasStarted":true,"nextOccurrence":2,"open":[]}}',
    effects: '{"headrooms":{"web":2.5},"pairs":{"web":[["fill",0.4,0.01],["heavy",9,1.5]]}}',
    roster: '{"lives":["w1/1","w2/5"],"leaseMs":4500}',
    rosterWithLeases: '{"lives":["w1/1","w2/5"],"leaseMs":4500,"epoch":3,"leasesMs":{"w2/5":9000}}',
};

const createScheduler = (): CellScheduler =>
    CellScheduler.create(2, ManualClock.create(1_000_000), cellLimits);

// Guards against a renamed property of a stored object: the state that an earlier build wrote would be lost.
t.test("a job and its progress are read and written under the same names", t => {
    const spec = jobCodec.decodeJob(stored.job);
    if (spec === undefined) {
        t.fail("the job is not read");
        t.end();
        return;
    }
    t.equal(jobCodec.encodeJob(spec), stored.job);
    const { progress, suspected, crashes, crashed, failedByAttempts, failedByCrashes, ended } = stored;
    const texts = [progress, suspected, crashes, crashed, failedByAttempts, failedByCrashes, ended];
    for (const text of texts) {
        const scheduler = createScheduler();
        scheduler.inheritJob(spec, jobCodec.decodeProgress(text));
        const job = scheduler.jobs.get(id);
        t.equal(job && jobCodec.encodeProgress(readProgress(job)), text);
    }
    t.end();
});

// Guards against a tombstone that another build does not recognize, and one that it takes for a job.
t.test("a tombstone is read and written under the same names", t => {
    const text = '{"v":1,"cancelledAtMs":1796677038684}';
    t.same(jobCodec.decodeTombstone(text), { cancelledAtMs: 1_796_677_038_684 });
    t.equal(jobCodec.encodeTombstone({ cancelledAtMs: 1_796_677_038_684 }), text);
    t.equal(jobCodec.decodeJob(text), undefined);
    for (const other of [stored.job, "{}", "", '{"v":2,"cancelledAtMs":1}', '{"v":1,"cancelledAtMs":"1"}']) {
        t.equal(jobCodec.decodeTombstone(other), undefined, other);
    }
    t.end();
});

// Guards against learned effects or roster entries that are lost in part when a cell changes its owner.
t.test("effects and rosters are read and written under the same names", t => {
    const { effects } = createScheduler();
    const snapshot = storedRecords.decodeEffects(stored.effects);
    t.ok(snapshot);
    if (snapshot !== undefined) {
        effects.restore(snapshot);
    }
    t.equal(JSON.stringify(effects.snapshot()), stored.effects);
    for (const roster of [stored.roster, stored.rosterWithLeases]) {
        t.equal(rosterCodec.encode(rosterCodec.decode(roster)), roster);
    }
    t.end();
});
