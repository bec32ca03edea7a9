/** Clients that hand jobs in at a steady rate. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Site } from './site';

/** Body of a job, as PROTOCOL.md describes it. */
export interface JobBody {
  readonly spec: string;
  readonly phases: readonly Readonly<Record<string, unknown>>[];
}

const ID_DIGITS = 16;

/** Returns the id of a numbered job. */
export function jobId(number: number): string {
  return number.toString(16).padStart(ID_DIGITS, '0');
}

/** Clients of a site. */
export class Load {
  /** Numbers of answers by status; 0 stands for none. */
  readonly answers = new Map<number, number>();

  private readonly results: { readonly atMs: number; readonly status: number }[] = [];

  private readonly site: Site;

  private readonly body: JobBody;

  private isOver = false;

  private sent = 0;

  private run: Promise<void> = Promise.resolve();

  constructor(site: Site, body: JobBody) {
    this.site = site;
    this.body = body;
  }

  /** Hands in a job each `intervalMs`, at the entries in turn. */
  start(intervalMs: number): void {
    this.run = this.sendJobs(intervalMs);
  }

  /** Ends the traffic. */
  async stop(): Promise<void> {
    this.isOver = true;
    await this.run;
  }

  /** Returns the numbers of requests and of accepted ones among those sent from a time on. */
  since(fromMs: number): { readonly sent: number; readonly served: number } {
    const later = this.results.filter(({ atMs }) => atMs >= fromMs);
    return { sent: later.length, served: later.filter(({ status }) => status === 200).length };
  }

  /** Returns the number of jobs that were accepted. */
  accepted(): number {
    return this.answers.get(200) ?? 0;
  }

  /** Returns the counts of answers for the record. */
  summary(): string {
    return [...this.answers].map(([status, count]) => `${status}: ${count}`).join(', ');
  }

  private async sendJobs(intervalMs: number): Promise<void> {
    const { site } = this;
    while (!this.isOver) {
      this.sent += 1;
      const entry = site.entries[this.sent % site.entries.length];
      if (entry !== undefined) {
        const atMs = site.bed.nowMs();
        site.request(entry, 'POST', jobId(this.sent), this.body).then(
          ({ status }) => {
            this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
            this.results.push({ atMs, status });
          },
          () => undefined,
        );
      }
      // eslint-disable-next-line no-await-in-loop -- the pause between two jobs
      await sleep(intervalMs);
    }
  }
}
