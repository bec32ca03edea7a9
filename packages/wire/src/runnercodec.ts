import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import { z } from 'zod';
import type { LinkCodec } from './codec';
import type { DecodedPayload, TaggedMessage } from './frame';
import { decodePayload, encodeFrame } from './frame';
import type { SharedPayloads } from './payloads';
import { addPayload, isShared, NO_PAYLOADS } from './payloads';
import type { ReportChange } from './reportchange';
import { applyReportChange, changeOfReport, reportChangeSchema } from './reportchange';
import type { LeaderMessage, Report, RunnerMessage } from './runner';
import { leaderSchema, runnerSchema } from './runnerschema';

/** A start order whose payload an earlier one on the connection has carried. */
interface SharedStart extends Omit<StartOrder, 'kind' | 'payload'> {
  readonly kind: 'sharedStart';
  readonly payloadNumber: number;
}

type StartOrder = Extract<LeaderMessage, { readonly kind: 'start' }>;

const startSchema = leaderSchema.options[2];

const sharedStartSchema = startSchema
  .omit({ payload: true })
  .extend({ kind: z.literal('sharedStart'), payloadNumber: z.int().nonnegative() });

const toEntrySchema = z.discriminatedUnion('kind', [...runnerSchema.options, reportChangeSchema]);
const toAgentSchema = z.discriminatedUnion('kind', [...leaderSchema.options, sharedStartSchema]);

const toEntryKinds = new Set(toEntrySchema.options.map((option) => option.shape.kind.value));
const toAgentKinds = new Set(toAgentSchema.options.map((option) => option.shape.kind.value));

function message<Message>(value: Message): DecodedPayload<Message> {
  return { kind: 'message', message: value };
}

function isReport(value: TaggedMessage): value is Report {
  return value.kind === 'report';
}

function isStart(value: TaggedMessage): value is StartOrder {
  return value.kind === 'start';
}

/** A message in the form in which it is sent, and what the connection remembers after it. */
interface Sent<State> {
  readonly wire: TaggedMessage;
  readonly state: State;
}

/** A received message with what it refers to, and what the connection remembers after it. */
interface Received<Message, State> {
  readonly decoded: DecodedPayload<Message>;
  readonly state: State;
}

function compactReport(
  previous: Report | undefined,
  value: TaggedMessage,
): Sent<Report | undefined> {
  if (!isReport(value)) return { wire: value, state: previous };
  const change = previous === undefined ? undefined : changeOfReport(previous, value);
  return { wire: change ?? value, state: value };
}

function restoreReport(
  previous: Report | undefined,
  decoded: DecodedPayload<RunnerMessage | ReportChange>,
): Result<Received<RunnerMessage, Report | undefined>> {
  if (decoded.kind === 'skipped') return succeed({ decoded, state: previous });
  const { message: value } = decoded;
  if (value.kind === 'reportChange') {
    const report = applyReportChange(previous, value);
    return report.ok ? succeed({ decoded: message(report.value), state: report.value }) : report;
  }
  return succeed({ decoded: message(value), state: value.kind === 'report' ? value : previous });
}

function compactStart(payloads: SharedPayloads, value: TaggedMessage): Sent<SharedPayloads> {
  if (!isStart(value) || !isShared(value.payload)) return { wire: value, state: payloads };
  const { payload, ...rest } = value;
  const payloadNumber = payloads.numbers.get(payload);
  if (payloadNumber === undefined) return { wire: value, state: addPayload(payloads, payload) };
  const shared: SharedStart = { ...rest, kind: 'sharedStart', payloadNumber };
  return { wire: shared, state: payloads };
}

function restoreStart(
  payloads: SharedPayloads,
  decoded: DecodedPayload<LeaderMessage | SharedStart>,
): Result<Received<LeaderMessage, SharedPayloads>> {
  if (decoded.kind === 'skipped') return succeed({ decoded, state: payloads });
  const { message: value } = decoded;
  if (value.kind === 'sharedStart') {
    const { payloadNumber, ...rest } = value;
    const payload = payloads.byNumber.get(payloadNumber);
    if (payload === undefined) {
      return fail({ kind: 'malformedFrame', problem: 'sharedStart: unknown payload' });
    }
    return succeed({ decoded: message({ ...rest, kind: 'start', payload }), state: payloads });
  }
  const isAdded = value.kind === 'start' && isShared(value.payload);
  const state = isAdded ? addPayload(payloads, value.payload) : payloads;
  return succeed({ decoded: message(value), state });
}

function createAgentCodec(
  report: Report | undefined,
  payloads: SharedPayloads,
): LinkCodec<LeaderMessage> {
  return {
    encode: (value) => {
      const { wire, state } = compactReport(report, value);
      return { frame: encodeFrame(wire), next: createAgentCodec(state, payloads) };
    },
    decode: (payload) => {
      const decoded = decodePayload<LeaderMessage | SharedStart>(
        payload,
        toAgentSchema,
        toAgentKinds,
      );
      if (!decoded.ok) return decoded;
      const restored = restoreStart(payloads, decoded.value);
      if (!restored.ok) return restored;
      const next = createAgentCodec(report, restored.value.state);
      return succeed({ decoded: restored.value.decoded, next });
    },
  };
}

function createEntryCodec(
  report: Report | undefined,
  payloads: SharedPayloads,
): LinkCodec<RunnerMessage> {
  return {
    encode: (value) => {
      const { wire, state } = compactStart(payloads, value);
      return { frame: encodeFrame(wire), next: createEntryCodec(report, state) };
    },
    decode: (payload) => {
      const decoded = decodePayload<RunnerMessage | ReportChange>(
        payload,
        toEntrySchema,
        toEntryKinds,
      );
      if (!decoded.ok) return decoded;
      const restored = restoreReport(report, decoded.value);
      if (!restored.ok) return restored;
      const next = createEntryCodec(restored.value.state, payloads);
      return succeed({ decoded: restored.value.decoded, next });
    },
  };
}

/** Codec of an agent's new connection to the leader. */
export const AGENT_CODEC: LinkCodec<LeaderMessage> = createAgentCodec(undefined, NO_PAYLOADS);

/** Codec of an entry's new connection from an agent. */
export const ENTRY_CODEC: LinkCodec<RunnerMessage> = createEntryCodec(undefined, NO_PAYLOADS);
