import type { AttemptEnd, UpstreamView } from './types';

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Factor by which the latency floor rises with each sample, so that it follows lasting changes. */
const FLOOR_DRIFT_FACTOR = 1.002;

const LIMIT_DECREASE_FACTOR = 0.9;
const SLOW_LATENCY_FACTOR = 2;

/** Samples before the latency is compared with its floor; the first ones include connection setup. */
const MIN_SAMPLES = 10;

/** Adds a latency sample to the moving average and the floor. */
export function recordLatency(view: UpstreamView, latencyMs: number): UpstreamView {
  const average =
    view.sampleCount === 0
      ? latencyMs
      : view.latencyMs + LATENCY_WEIGHT * (latencyMs - view.latencyMs);
  const floorMs =
    view.sampleCount === 0 ? average : Math.min(average, view.floorMs * FLOOR_DRIFT_FACTOR);
  return { ...view, latencyMs: average, floorMs, sampleCount: view.sampleCount + 1 };
}

function lowerLimit(view: UpstreamView, minLimit: number, nowMs: number): UpstreamView {
  // The answers of one burst reflect the same overload, so they lower the limit only once.
  if (nowMs - view.limitLoweredAtMs < view.latencyMs) return view;
  const limit = Math.max(Math.min(minLimit, view.limit), view.limit * LIMIT_DECREASE_FACTOR);
  return { ...view, limit, limitLoweredAtMs: nowMs };
}

/** Adapts the concurrency limit to the result of an attempt; `inFlight` attempts were open. */
export function adaptLimit(
  view: UpstreamView,
  end: AttemptEnd,
  inFlight: number,
  nowMs: number,
): UpstreamView {
  const isSlow =
    view.sampleCount > MIN_SAMPLES && view.latencyMs > SLOW_LATENCY_FACTOR * view.floorMs;
  if (end.kind === 'timedOut' || end.kind === 'refused') return lowerLimit(view, 1, nowMs);
  if (end.kind !== 'answered') return view;
  // Service times of requests differ, so slow answers alone do not prove that there are too many
  // slots. They only lower the limit down to the slots, beyond which requests queue.
  if (isSlow && view.limit > view.info.slots) return lowerLimit(view, view.info.slots, nowMs);
  if (end.isFailure || inFlight < Math.floor(view.limit)) return view;
  const { slots, connections } = view.info;
  return { ...view, limit: Math.min(Math.max(1, slots + connections), view.limit + 1) };
}
