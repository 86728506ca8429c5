/** Load of the demo for each user. The paths are routes of the tables under examples/. */
export const loadPlan = {
    kloverknap: {
        kinds: [
            { path: "/proof-render", idempotent: true, serviceMs: 20, bytes: 2_000 },
            { path: "/order", idempotent: false, serviceMs: 10, bytes: 200 },
        ],
        requestsPerSecond: 200,
        taskPath: "/cutting-plan",
        tasks: 150,
        longRunningPath: "/bolt-watch",
    },
    agency: {
        kinds: [
            { path: "/pairing", idempotent: false, serviceMs: 15, bytes: 4_000 },
            { path: "/rating", idempotent: true, serviceMs: 5, bytes: 500 },
        ],
        requestsPerSecond: 200,
        taskPath: "/standings",
        tasks: 150,
        longRunningPath: "/rating-track",
    },
} as const;
