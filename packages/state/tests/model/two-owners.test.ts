import t from "tap";
import { checkOwners } from "./check-owners.js";

t.setTimeout(0);

// Guards against a lost acknowledged transition, a replayed refused one, and two owners at the same time.
t.test("two owners under faults, seed 20261", t => checkOwners(t, 2, 20_261));
