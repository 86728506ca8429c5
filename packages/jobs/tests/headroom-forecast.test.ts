import t from "tap";
import { HeadroomForecast } from "../src/headroom-forecast.js";

const ReadingMs = 200;
const NoiseVariance = 0.0625;
/** Amplitude of the headroom when the load oscillates by half of its mean. */
const Amplitude = 0.95;

/** Feeds readings of a value over time and returns the forecast. */
const feedReadings = (valueAt: (ms: number) => number, untilMs: number): HeadroomForecast => {
    const forecast = HeadroomForecast.create(2.5, 1, 0);
    for (let ms = ReadingMs; ms <= untilMs; ms += ReadingMs) {
        forecast.advance(ms);
        forecast.correct(valueAt(ms) - forecast.current, forecast.variance + NoiseVariance, ReadingMs);
    }
    return forecast;
};

// Guards against a pace that follows a rising load too late: a level without a slope lags behind by seconds.
t.test("load pattern: a load oscillates by half of its mean within ten seconds", t => {
    const headroomAt = (ms: number): number => 2.6 - Amplitude * Math.sin((2 * Math.PI * ms) / 10_000);
    for (let untilMs = 10_000; untilMs <= 20_000; untilMs += 500) {
        const forecast = feedReadings(headroomAt, untilMs);
        const error = Math.abs(forecast.valueAt(untilMs + 400) - headroomAt(untilMs + 400));
        t.ok(error < Amplitude / 2, `${error.toFixed(2)} off at ${untilMs} ms`);
    }
    t.end();
});

// Guards against overconfidence in extrapolation: uncertainty must grow with the distance from the last reading.
t.test("a forecast is less certain the further it looks ahead", t => {
    const forecast = feedReadings(() => 2, 5_000);
    const deviations = [0, 300, 900].map(aheadMs => forecast.deviationAt(5_000 + aheadMs));
    t.same(
        deviations,
        [...deviations].sort((a, b) => a - b),
    );
    t.ok(Math.abs(forecast.mean - 2) < 0.2, `mean ${forecast.mean}`);
    t.end();
});
