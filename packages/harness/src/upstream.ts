import type { ReceivedAttempt } from '@bronzeyoke/admission';
import type { AgentEvent } from '@bronzeyoke/agent';
import type { CallerRequest } from '@bronzeyoke/types';
import { assertNever, drawUniforms } from '@bronzeyoke/types';
import { expectedAnswer, requestBody } from './body';
import type { AgentProcess, World } from './world';
import { deliver, observe, schedule } from './world';

const SLOW_FACTOR = 10;
const FAILING_AFTER_MS = 0.5;
const NOT_REACHED_AFTER_MS = 0.1;

/** Header that distinguishes submissions with the same idempotency key at the upstream. */
const SUBMISSION_HEADER = 'x-submission';

function spreadOf(requestId: string): number {
  // The golden ratio spreads consecutive numbers evenly over [0, 1).
  return (Number(requestId.slice(1)) * 0.618_033_988_749_895) % 1;
}

/** Returns the service time of a request, which is the same at every healthy upstream. */
function serviceMs(world: World, requestId: string): number {
  const [one = 0.5, two = 0.5] = drawUniforms(spreadOf(requestId), 2);
  const normal = Math.sqrt(-2 * Math.log(1 - one)) * Math.cos(2 * Math.PI * two);
  return world.deployment.serviceMedianMs * Math.exp(normal * world.deployment.serviceSpread);
}

function endLater(
  world: World,
  worker: string,
  attemptId: string,
  event: AgentEvent,
  afterMs: number,
): World {
  return schedule(world, afterMs, { kind: 'upstreamEnd', worker, callId: attemptId, event });
}

/** Sends an attempt to the upstream beside an agent, and schedules its end. */
export function callUpstream(
  world: World,
  agent: AgentProcess,
  attempt: ReceivedAttempt,
  timeoutMs: number,
): World {
  const { worker } = agent.site;
  const { attemptId } = attempt;
  const requestId = attempt.headers[SUBMISSION_HEADER] ?? '';
  const upstream = world.upstreams.get(worker);
  if (upstream === undefined || upstream.mode === 'unreachable') {
    const event = { kind: 'upstreamNotReached', attemptId } as const;
    return deliver(world, agent.processId, { kind: 'agentEvent', event }, NOT_REACHED_AFTER_MS);
  }
  const observed = observe(world, {
    kind: 'ran',
    requestId,
    agentId: agent.processId,
  });
  const calls = upstream.calls.set(attemptId, agent.processId);
  const started = {
    ...observed,
    upstreams: observed.upstreams.set(worker, { ...upstream, calls }),
  };
  const lost = { kind: 'upstreamLost', attemptId } as const;
  const expire = (): World =>
    endLater(started, worker, attemptId, { ...lost, reason: 'deadlineExpired' }, timeoutMs);
  const neededMs = serviceMs(world, requestId) * (upstream.mode === 'slow' ? SLOW_FACTOR : 1);
  switch (upstream.mode) {
    case 'failing':
      return endLater(
        started,
        worker,
        attemptId,
        { ...lost, reason: 'upstreamFailed' },
        FAILING_AFTER_MS,
      );
    case 'silent':
      return expire();
    case 'healthy':
    case 'slow': {
      if (neededMs > timeoutMs) {
        return expire();
      }
      const body = world.standinBugs.swapsAnswers ? requestBody('another request') : attempt.body;
      const answer = expectedAnswer(body);
      return endLater(
        started,
        worker,
        attemptId,
        { kind: 'upstreamAnswered', attemptId, answer },
        neededMs,
      );
    }
    default:
      return assertNever(upstream.mode);
  }
}

/** Ends a call at an upstream, and delivers the result to the agent if it still runs. */
export function endCall(world: World, worker: string, callId: string, event: AgentEvent): World {
  const upstream = world.upstreams.get(worker);
  const agentId = upstream?.calls.get(callId);
  if (upstream === undefined || agentId === undefined) return world;
  const calls = upstream.calls.delete(callId);
  const upstreams = world.upstreams.set(worker, { ...upstream, calls });
  return deliver({ ...world, upstreams }, agentId, { kind: 'agentEvent', event }, 0);
}

/** Creates a caller's request. Requests with the same key have the same body. */
export function createRequest(
  world: World,
  requestId: string,
  key: string | undefined,
  timeoutMs: number,
): CallerRequest {
  return {
    requestId,
    service: world.deployment.service,
    method: 'POST',
    path: '/price',
    headers: { [SUBMISSION_HEADER]: requestId },
    body: requestBody(key ?? requestId),
    timeoutMs,
    ...(key === undefined ? {} : { idempotencyKey: key }),
  };
}
