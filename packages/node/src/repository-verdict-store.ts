import type { VerdictStore } from '@sequoiafield/rollout';
import type { ConfigRepository } from '@sequoiafield/store';

type VerdictBody = Parameters<VerdictStore['write']>[0];

/** Reads and writes verdicts in the store. */
export class RepositoryVerdictStore implements VerdictStore {
  constructor(
    private readonly repository: ConfigRepository,
    private readonly nodeId: string,
  ) {}

  async read(moveId: string): Promise<VerdictBody | undefined> {
    const record = await this.repository.readVerdict(moveId);
    if (!record) return undefined;
    const { verdict, reason, decidedAtUnixMs, service } = record;
    return { moveId, service, verdict, reason, atUnixMs: decidedAtUnixMs };
  }

  async write({ moveId, service, verdict, reason, atUnixMs }: VerdictBody): Promise<void> {
    await this.repository.writeVerdict({
      moveId,
      service,
      verdict,
      reason,
      decidedAtUnixMs: atUnixMs,
      nodeId: this.nodeId,
    });
  }
}
