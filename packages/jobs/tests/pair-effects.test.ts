import t from "tap";
import { PairEffects } from "../src/pair-effects.js";

const NoiseVariance = 0.0625;
const truth: Readonly<Record<string, number>> = { heavy: 10, light: 0.4 };

const readings = [
    { heavy: 0.1, light: 0.4 },
    { heavy: 0, light: 0.3 },
    { heavy: 0.2, light: 0.1 },
];

/** Estimates after several rounds of readings with different mixes of fillers. */
const learn = (rounds: number): PairEffects => {
    const effects = PairEffects.create();
    for (let round = 0; round < rounds; round++) {
        for (const sharesByImage of readings) {
            const shares = new Map(Object.entries(sharesByImage));
            const taken = [...shares].reduce((sum, [image, share]) => sum + (truth[image] ?? 0) * share, 0);
            const totalVariance = effects.totalEffectVariance("web", shares) + NoiseVariance;
            effects.correct("web", shares, taken - effects.totalEffect("web", shares), totalVariance);
        }
    }
    return effects;
};

// Guards against a filler that is slowed down for the effect of another filler beside it.
t.test("effects of fillers on the same worker are told apart", t => {
    const effects = learn(20);
    t.ok(effects.effect("web", "heavy") > 8, `heavy ${effects.effect("web", "heavy")}`);
    t.ok(effects.effect("web", "light") < 1.5, `light ${effects.effect("web", "light")}`);
    t.equal(effects.effect("api", "heavy"), PairEffects.create().effect("api", "heavy"), "other images");
    t.end();
});

// Guards against an owner that learns from scratch after each takeover while serving tasks miss their targets.
t.test("estimates survive a change of owner", t => {
    const effects = learn(20);
    const next = PairEffects.create();
    next.restore(effects.snapshot());
    for (const image of ["heavy", "light"]) {
        t.ok(Math.abs(next.effect("web", image) - effects.effect("web", image)) < 0.01, image);
    }
    t.end();
});

// Guards against serving images being combined although together they rule out more fillers than either alone.
t.test("a worker is compatible with the fillers that disturb none of its images", t => {
    const effects = learn(20);
    t.equal(effects.compatibleShare(new Set()), 1);
    t.ok(effects.compatibleShare(new Set(["web", "api"])) <= effects.compatibleShare(new Set(["web"])));
    t.end();
});

// Guards against estimates that grow with the number of images until the store refuses their value, and every later commit
// of the cell with it.
t.test("the estimates that were corrected last are kept, up to a bounded number", t => {
    const effects = PairEffects.create();
    const correct = (filler: string): void => effects.correct("web", new Map([[filler, 0.5]]), 1, 16.25);
    const digest = (index: number): string => `sha256:${index.toString(16).padStart(64, "0")}`;
    for (let index = 0; index < 20_000; index++) {
        correct(digest(index));
        if (index % 500 === 0) {
            correct("common");
        }
    }
    const pairs = effects.snapshot()["web"] ?? [];
    t.ok(pairs.length > 2_000 && pairs.length <= 4_000, `${pairs.length} pairs`);
    t.ok(JSON.stringify(effects.snapshot()).length < 500_000);
    const kept = new Set(pairs.map(([filler]) => filler));
    t.ok(kept.has(digest(19_999)) && kept.has("common") && !kept.has(digest(0)));
    t.end();
});
