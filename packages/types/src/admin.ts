import type { Job, TaskId, TaskRow } from './job';
import type { AgentProfile } from './agent';
import type { Resources } from './resources';
import type { ConfigChange, Configuration, Ticket } from './ticket';

/** A job as submitted by a caller. The entry adds the id and the time of submission. */
export type Submission = Omit<Job, 'jobId' | 'submittedAtMs' | 'cancelled'>;

/** Command or query of an operator, a team or a caller about batch work and configuration. */
export type AdminCommand =
  | {
      readonly kind: 'applyTicket';
      readonly author: string;
      readonly number: number;
      readonly changes: readonly ConfigChange[];
    }
  | { readonly kind: 'listTickets'; readonly afterNumber: number; readonly limit: number }
  | { readonly kind: 'showTicket'; readonly number: number }
  | { readonly kind: 'whereTicket'; readonly number: number }
  | { readonly kind: 'showConfiguration' }
  | { readonly kind: 'submitJob'; readonly submission: Submission }
  | { readonly kind: 'showJob'; readonly team: string; readonly jobId: string }
  | { readonly kind: 'cancelJob'; readonly team: string; readonly jobId: string }
  | {
      readonly kind: 'listJobs';
      readonly team: string;
      readonly afterJobId: string;
      readonly limit: number;
    }
  | { readonly kind: 'listUpstreams' }
  | { readonly kind: 'listWorkers' };

/** Ticket number that is in force in a process. */
export interface TicketInForce {
  readonly process: 'entry' | 'agent';
  readonly id: string;
  readonly domain: string;
  readonly number: number;
}

/** Status of an upstream from the view of an entry. */
export interface UpstreamStatus {
  readonly agentId: string;
  readonly service: string;
  readonly domain: string;
  readonly health: string;
  readonly inFlight: number;
  readonly limit: number;
  readonly latencyMs: number;
}

/** Status of a worker from the view of an entry. */
export interface WorkerStatus {
  readonly profile: AgentProfile;
  readonly free: Resources;
  readonly health: string;
  readonly ticketInForce: number;
}

/** A job with the rows of its tasks. */
export interface JobDetails {
  readonly job: Job;
  readonly tasks: readonly { readonly id: TaskId; readonly row: TaskRow }[];
}

/** Reply to an administration command. */
export type AdminReply =
  | { readonly kind: 'ticket'; readonly ticket: Ticket }
  | { readonly kind: 'tickets'; readonly tickets: readonly Ticket[] }
  | { readonly kind: 'where'; readonly processes: readonly TicketInForce[] }
  | { readonly kind: 'configuration'; readonly configuration: Configuration }
  | { readonly kind: 'job'; readonly status: JobDetails }
  | { readonly kind: 'jobs'; readonly jobs: readonly Job[] }
  | { readonly kind: 'upstreams'; readonly upstreams: readonly UpstreamStatus[] }
  | { readonly kind: 'workers'; readonly workers: readonly WorkerStatus[] };
