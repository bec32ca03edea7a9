import type { ChildProcess } from 'node:child_process';
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

/** Starts a child process from a TypeScript file and gives it its role. Returns it with its first message. */
export async function startChild<Role extends object, Message>(
  script: URL,
  role: Role,
): Promise<{ readonly child: ChildProcess; readonly message: Message }> {
  const child = fork(fileURLToPath(script), { execArgv: ['--import', 'tsx'] });
  child.send(role);
  const [message] = (await once(child, 'message')) as [Message];
  return { child, message };
}
