import t from "tap";
import { checkOwners } from "./check-owners.js";

t.setTimeout(0);

// Guards against a lost acknowledged transition, a replayed refused one, and two owners at the same time.
t.test("three owners under faults, seed 20262", t => checkOwners(t, 3, 20_262));
