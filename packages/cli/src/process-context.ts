import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import type { StoreSettings } from '@sequoiafield/config';
import { HttpStore } from '@sequoiafield/store';
import type { CommandContext, StoreConnection } from './command-context.js';

/** Context of the running process. */
export class ProcessContext implements CommandContext {
  readonly env = process.env;

  readonly isTerminal = process.stderr.isTTY;

  writeOut(text: string): void {
    process.stdout.write(text);
  }

  writeError(text: string): void {
    process.stderr.write(text);
  }

  connectStore(settings: StoreSettings): StoreConnection {
    const store = new HttpStore(settings);
    return { store, close: () => store.close() };
  }

  userName(): string {
    try {
      return userInfo().username;
    } catch {
      // The user id has no entry in the user database, as on many small instances.
      return 'unknown';
    }
  }

  newOperationId(): string {
    return randomUUID();
  }
}
