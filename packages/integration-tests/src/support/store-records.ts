import type { LocalMesh } from '@sequoiafield/stand-ins';
import type { HeadRecord, VerdictRecord } from '@sequoiafield/types';

/**
 * Record under a key of the store, or undefined if it is not there.
 *
 * @example
 * const head = await readRecord<HeadRecord>(mesh, 'head');
 */
const readRecord = async <Record>(mesh: LocalMesh, key: string): Promise<Record | undefined> => {
  const response = await fetch(`${mesh.storeUrl}/v1/kv/sequoiafield/${key}`);
  if (response.status === 404) return undefined;
  if (!response.ok) throw new Error(`The store answered ${response.status} for ${key}`);
  const { value } = (await response.json()) as { value: string };
  return JSON.parse(value) as Record;
};

/**
 * The accepted configuration version.
 *
 * @example
 * const version = await readHeadVersion(mesh);
 */
export const readHeadVersion = async (mesh: LocalMesh): Promise<number> =>
  (await readRecord<HeadRecord>(mesh, 'head'))?.configVersion ?? 0;

/**
 * Verdict of a move as the store keeps it.
 *
 * @example
 * const verdict = await readVerdict(mesh, 'settlement-v2');
 */
export const readVerdict = (mesh: LocalMesh, moveId: string): Promise<VerdictRecord | undefined> =>
  readRecord<VerdictRecord>(mesh, `verdict/${moveId}`);
