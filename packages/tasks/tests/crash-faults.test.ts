import { testShard } from "./faults/test-shard.js";

// Guards against tasks that take worker after worker, also across changes of the owner and cuts, against neighbours and
// tasks of a lost rack that are given up, and against two suspects on one worker.
testShard(20261205, "withCrashes");
