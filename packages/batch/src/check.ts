import type { Failure, Submission } from '@bronzeyoke/types';

const NAME_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;
const KEY_PATTERN = /^[A-Za-z0-9._:-]{1,128}$/;
const MAX_TASKS = 10_000;
const MAX_PAYLOAD_CHARS = 65_536;
const MAX_AMOUNT = 1e9;
const MAX_RUN_MS = 30 * 86_400_000;
const MAX_WALL_MS = 8.64e15;

function isAmount(value: number, max: number): boolean {
  return Number.isFinite(value) && value >= 0 && value <= max;
}

/** Returns the first invalid field of a submission, or undefined if it is valid. */
export function checkSubmission(submission: Submission): Failure | undefined {
  const { team, key, workKind, role, declared, declaredRunMs, deadlineAtMs } = submission;
  const checks: readonly (readonly [string, boolean, string])[] = [
    ['team', NAME_PATTERN.test(team), 'not 1 to 64 letters, digits, _ or -'],
    ['key', KEY_PATTERN.test(key), 'not 1 to 128 letters, digits, or one of . _ : -'],
    ['workKind', NAME_PATTERN.test(workKind), 'not 1 to 64 letters, digits, _ or -'],
    ['role', role === 'batch', 'watchers are set up by tickets'],
    ['declared.processorsMilli', isAmount(declared.processorsMilli, MAX_AMOUNT), 'not in range'],
    ['declared.memoryMb', isAmount(declared.memoryMb, MAX_AMOUNT), 'not in range'],
    ['declared.accelerators', isAmount(declared.accelerators, MAX_AMOUNT), 'not in range'],
    ['declaredRunMs', isAmount(declaredRunMs, MAX_RUN_MS), 'not in 0..30 days'],
    ['deadlineAtMs', isAmount(deadlineAtMs ?? 0, MAX_WALL_MS), 'not a time'],
    [
      'taskCount',
      Number.isInteger(submission.taskCount) &&
        submission.taskCount > 0 &&
        submission.taskCount <= MAX_TASKS,
      `not in 1..${MAX_TASKS}`,
    ],
    ['payload', submission.payload.length <= MAX_PAYLOAD_CHARS, 'too long'],
  ];
  const failed = checks.find(([, holds]) => !holds);
  return failed === undefined
    ? undefined
    : { kind: 'invalid', field: failed[0], problem: failed[2] };
}
