import { testShard } from "./faults/test-shard.js";

// Guards against the faults of section 2 of the design that the owner, the log and the workers can cause
// together: two running copies of a task, overcommitted workers, lost or repeated ends, and refused tasks
// that ran.
testShard(20261201);
