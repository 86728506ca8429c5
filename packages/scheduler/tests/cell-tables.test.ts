import { CellName } from "@samphireward/core/cell-name";
import { Tables } from "@samphireward/core/tables";
import t from "tap";
import { CellTables } from "../src/cell-tables.js";

const pools = `
[links]
[zones]
a = { region = "north", cells = 2 }
b = { region = "north", cells = 1 }
c = { region = "north", cells = 1 }
[teams.plans]
quota = { processors = 30, memoryMb = 300, accelerators = 4 }
[pools.cutting]
class = "batch"
team = "plans"
zones = ["a", "b"]
interferenceClass = "cutting"
`;

// Guards against a quota that is exceeded by all cells together, and against a share of accelerators that admits
// no task because it is a fraction of a device.
t.test("a team's quota is divided over the cells that its pools reach", t => {
    const tables = Tables.create("[routes]", pools).unwrap();
    const shares = tables.allCells().map(cell => CellTables.create(tables, cell).owner.quotas?.get("plans"));
    t.strictSame(
        shares.map(share => [share?.processors, share?.memoryMb, share?.accelerators]),
        [
            [10, 100, 2],
            [10, 100, 1],
            [10, 100, 1],
            [0, 0, 0],
        ],
    );
    t.strictSame([...CellTables.create(tables, CellName.create("c", 0)).owner.pools.keys()], []);
    t.end();
});
