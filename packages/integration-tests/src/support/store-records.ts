import type { LocalMesh } from '@sequoiafield/stand-ins';
import type { HeadRecord, VerdictRecord } from '@sequoiafield/types';

/**
 * Reads the record under a key of the store; returns undefined if there is none.
 *
 * @example
 * const head = await readRecord<HeadRecord>(mesh, 'head');
 */
const readRecord = async <Record>(mesh: LocalMesh, key: string): Promise<Record | undefined> => {
  const response = await fetch(`${mesh.storeUrl}/v1/kv/sequoiafield/${key}`);
  if (response.status === 404) return undefined;
  if (!response.ok)
    throw new Error(`Reading ${key} from the store failed with status ${response.status}`);
  const { value } = (await response.json()) as { value: string };
  return JSON.parse(value) as Record;
};

/**
 * Reads the accepted configuration version from the store; 0 if there is none.
 *
 * @example
 * const version = await readHeadVersion(mesh);
 */
export const readHeadVersion = async (mesh: LocalMesh): Promise<number> =>
  (await readRecord<HeadRecord>(mesh, 'head'))?.configVersion ?? 0;

/**
 * Reads the verdict on a move from the store; returns undefined if there is none.
 *
 * @example
 * const verdict = await readVerdict(mesh, 'settlement-v2');
 */
export const readVerdict = (mesh: LocalMesh, moveId: string): Promise<VerdictRecord | undefined> =>
  readRecord<VerdictRecord>(mesh, `verdict/${moveId}`);
