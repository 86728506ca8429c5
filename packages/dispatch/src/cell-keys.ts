/** Keys of a cell in the metadata store. */
export const cellKeys = {
    /** Owner of the cell; attached to the owner's lease. */
    owner: (cell: number): string => `owners/${cell}`,
    ownerPrefix: "owners/",
    /** Processes of the system; each key is attached to a lease of its process. */
    memberPrefix: "members/",
    member: (node: string): string => `members/${node}`,
    /** Epoch and sequence number of the last commit; each commit expects its revision. */
    log: (cell: number): string => `cells/${cell}/log`,
    /** Workers that may hold runs of the cell. */
    roster: (cell: number): string => `cells/${cell}/roster`,
    /** Interference between images, as estimated by the owner. */
    effects: (cell: number): string => `cells/${cell}/effects`,
    /** States of the evacuations of data centres, for operators. */
    evacuations: (cell: number): string => `cells/${cell}/evacuations`,
    /** Jobs and cancellations that callers submitted, and the last takeover. */
    inputPrefix: (cell: number): string => `cells/${cell}/in/`,
    job: (cell: number, id: string): string => `cells/${cell}/in/job/${id}`,
    cancellation: (cell: number, id: string): string => `cells/${cell}/in/cancel/${id}`,
    /** Epoch of the owner, among the inputs: a watch of these reports a takeover before each job that follows it. */
    takeover: (cell: number): string => `cells/${cell}/in/takeover`,
    progressPrefix: (cell: number): string => `cells/${cell}/progress/`,
    progress: (cell: number, id: string): string => `cells/${cell}/progress/${id}`,
    /** Number of cells, fixed when the system first starts. */
    layout: "layout",
} as const;
