import t from "tap";
import { checkOwners } from "./check-owners.js";

t.setTimeout(0);

// Guards against an acknowledged transition that is lost, a failed one that is replayed, and two owners at a time.
t.test("three owners under faults, seed 20262", t => checkOwners(t, 3, 20_262));
