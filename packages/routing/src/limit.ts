import type { AttemptEnd, UpstreamView } from './types';

/** Weight of the newest latency in the moving average. */
const LATENCY_WEIGHT = 0.2;

/** Factor by which the latency floor drifts upwards with each sample, so that it follows a change. */
const FLOOR_DRIFT_FACTOR = 1.002;

const LIMIT_DECREASE_FACTOR = 0.9;
const SLOW_LATENCY_FACTOR = 2;

/** Samples before the latency is compared with its floor; the first ones include connecting. */
const MIN_SAMPLES = 10;

/** Counts one latency. */
export function recordLatency(view: UpstreamView, latencyMs: number): UpstreamView {
  const average =
    view.sampleCount === 0
      ? latencyMs
      : view.latencyMs + LATENCY_WEIGHT * (latencyMs - view.latencyMs);
  const floorMs =
    view.sampleCount === 0 ? average : Math.min(average, view.floorMs * FLOOR_DRIFT_FACTOR);
  return { ...view, latencyMs: average, floorMs, sampleCount: view.sampleCount + 1 };
}

function lowerLimit(view: UpstreamView, leastLimit: number, nowMs: number): UpstreamView {
  // Answers of one burst tell of the same overload, so they lower the limit once.
  if (nowMs - view.limitLoweredAtMs < view.latencyMs) return view;
  const limit = Math.max(Math.min(leastLimit, view.limit), view.limit * LIMIT_DECREASE_FACTOR);
  return { ...view, limit, limitLoweredAtMs: nowMs };
}

/** Adapts the concurrency limit to the end of an attempt, while `inFlight` attempts were open. */
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
  // Requests differ in their service time, so slow answers alone do not show that the slots are too
  // many; they only take back what the limit allows beyond the slots, where requests queue.
  if (isSlow && view.limit > view.info.slots) return lowerLimit(view, view.info.slots, nowMs);
  if (end.isFailure || inFlight < Math.floor(view.limit)) return view;
  const { slots, connections } = view.info;
  return { ...view, limit: Math.min(Math.max(1, slots + connections), view.limit + 1) };
}
