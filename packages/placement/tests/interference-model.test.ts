import { SeededRandom } from "@samphireward/core/seeded-random";
import t from "tap";
import { InterferenceLearner } from "../src/interference-learner.js";
import { InterferenceModel } from "../src/interference-model.js";

const processors = 16;

/** Trains the model with `count` reports of a service beside 0 to 12 processors: up to 8 of a, up to 4 of b. */
const train = (model: InterferenceModel, effects: [number, number], count: number, startMs: number): void => {
    const random = SeededRandom.create(21);
    for (let index = 0; index < count; index++) {
        const [a, b] = [random.next() * 8, random.next() * 4];
        const slowdown = 1 + (effects[0] * a + effects[1] * b) / processors + (random.next() - 0.5) * 0.2;
        const classes = new Map([
            ["a", a],
            ["b", b],
        ]);
        model.learn("service", classes, processors, 0.5, slowdown, startMs + index * 1000);
    }
};

const isNear = (actual: number, expected: number): boolean => Math.abs(actual - expected) < 0.25;

// Guards against effects attributed to the wrong neighbour, and estimates that do not follow a change of the effects.
t.test("estimates separate two neighbours and follow a change", t => {
    const model = InterferenceModel.create();
    t.equal(model.effect("service", "a", 0.5), 1, "prior");
    t.equal(model.confidence("service", "a", 0.5), 0);
    train(model, [3, 0.2], 400, 0);
    t.ok(isNear(model.effect("service", "a", 0.5), 3), String(model.effect("service", "a", 0.5)));
    t.ok(isNear(model.effect("service", "b", 0.5), 0.2), String(model.effect("service", "b", 0.5)));
    t.ok(model.confidence("service", "a", 0.5) > 0.9);
    t.equal(model.confidence("service", "a", 0.9), 0, "another load band has its own estimate");
    t.ok(
        isNear(model.predict("service", new Map(), "a", processors, processors, 0.9), 4.05),
        "a load band without reports uses the estimate over all loads",
    );
    train(model, [0.2, 2], 1200, 400_000);
    t.ok(isNear(model.effect("service", "a", 0.5), 0.2), String(model.effect("service", "a", 0.5)));
    t.ok(isNear(model.effect("service", "b", 0.5), 2), String(model.effect("service", "b", 0.5)));
    t.end();
});

// Guards against an unknown neighbour that is predicted to cause less slowdown than one known to cause little.
t.test("an unknown neighbour is predicted to cause more slowdown", t => {
    const model = InterferenceModel.create();
    train(model, [0.1, 0.1], 200, 0);
    const predict = (neighbour: string): number =>
        model.predict("service", new Map(), neighbour, 8, processors, 0.5);
    t.ok(predict("unknown") > predict("a") + 0.5);
    t.end();
});

// Guards against a lagged report that is attributed to the classes that run when it arrives, not when it was measured.
t.test("a report is matched to the workload mix at the time of its measurement", t => {
    const model = InterferenceModel.create();
    const learner = InterferenceLearner.create(model);
    for (let start = 0; start < 400_000; start += 20_000) {
        learner.recordWorkloadMix("w", new Map([["noisy", 8]]), start);
        learner.recordWorkloadMix("w", new Map([["quiet", 8]]), start + 10_000);
        // The report of the noisy phase arrives 15 s later, while the quiet class runs.
        const sample = { worker: "w", processors, load: 0.5, p99MsByService: new Map<string, number>() };
        learner.learn({ ...sample, observedAtMs: start + 5000, slowdownByClass: new Map([["service", 2]]) });
        learner.learn({
            ...sample,
            observedAtMs: start + 15_000,
            slowdownByClass: new Map([["service", 1]]),
        });
    }
    t.ok(isNear(model.effect("service", "noisy", 0.5), 2));
    t.ok(isNear(model.effect("service", "quiet", 0.5), 0));
    const old = {
        worker: "w",
        processors,
        load: 0.5,
        observedAtMs: 100,
        slowdownByClass: new Map<string, number>(),
    };
    t.notOk(learner.learn({ ...old, p99MsByService: new Map() }), "a report that is too old is ignored");
    t.notOk(
        learner.learn({ ...old, worker: "x", p99MsByService: new Map() }),
        "a report of an unknown worker is ignored",
    );
    t.end();
});
