import { readFileSync } from 'node:fs';
import { request } from 'undici';
import { LedgerEvent, type LedgerEntry, type LedgerLine } from '../backend-server/ledger.js';
import type { LedgerSet } from './ledger-check.js';

const emptyEntry: LedgerEntry = { starts: 0, finishes: 0, sheds: 0 };

const readLedgerFile = (path: string): Record<string, LedgerEntry> => {
  const entries: Record<string, LedgerEntry> = {};
  for (const text of readFileSync(path, 'utf8').split('\n')) {
    // The last line of a killed process may be cut off; its call was not answered.
    if (!text.endsWith('}')) continue;
    const { event, requestId } = JSON.parse(text) as LedgerLine;
    const { starts, finishes, sheds } = entries[requestId] ?? emptyEntry;
    entries[requestId] = {
      starts: starts + Number(event === LedgerEvent.Start),
      finishes: finishes + Number(event === LedgerEvent.Finish),
      sheds: sheds + Number(event === LedgerEvent.Shed),
    };
  }
  return entries;
};

const fetchLedger = async (url: string): Promise<Record<string, LedgerEntry> | undefined> => {
  try {
    const { body } = await request(`${url}/-/ledger`);
    return ((await body.json()) as { entries: Record<string, LedgerEntry> }).entries;
  } catch {
    return undefined;
  }
};

/**
 * Reads the ledgers of running backend servers by URL and those of stopped ones from files.
 *
 * @example
 * const ledgerSet = await readLedgers(['http://127.0.0.1:7001'], ['/tmp/ledger.jsonl']);
 */
export const readLedgers = async (
  urls: readonly string[],
  files: readonly string[],
): Promise<LedgerSet> => {
  const fetched = await Promise.all(urls.map(fetchLedger));
  const reached = fetched.filter((ledger) => ledger !== undefined);
  return {
    ledgers: [...reached, ...files.map(readLedgerFile)],
    isComplete: reached.length === urls.length,
  };
};
