import { testShard } from "./faults/test-shard.js";

// Guards against every fault of section 2 that the owner, the log and the workers can cause together: two
// running copies, overcommitted workers, lost or repeated ends, and refusals that ran.
testShard(20261204);
