import { DeadlineOrder } from "./deadline-order.js";
import type { StartOrder } from "./start-order.js";
import { StartOrderName } from "./start-order-name.js";
import { WorthOrder } from "./worth-order.js";

/** Creates the start order with this name, for the scheduler of one cell. */
export const createStartOrder = (name: StartOrderName = StartOrderName.Deadline): StartOrder =>
    name === StartOrderName.Worth ? WorthOrder.create() : DeadlineOrder.create();
