import type { System, Tick } from '@sequoiafield/tables';
import { tickIntervalMs } from '@sequoiafield/types';
import type { AttemptGuard } from './attempt-guard.js';
import type { InboundSession } from './inbound-session.js';
import type { LateAnswerLog } from './late-answer-log.js';
import type { TransportLimits } from './limits.js';
import type { OutboundLink } from './outbound-link.js';

/** Runs the heartbeats, stall detection and reconnects of every link on each tick. */
export class LinkMonitor implements System {
  readonly name = 'links';

  constructor(
    private readonly links: Map<string, OutboundLink>,
    private readonly acceptedSessions: ReadonlySet<InboundSession>,
    private readonly attemptGuard: AttemptGuard,
    private readonly limits: TransportLimits,
    private readonly lateAnswerLog: LateAnswerLog,
  ) {}

  run(tick: Tick): void {
    for (const [id, link] of this.links) {
      link.run(tick);
      if (link.isClosed) this.links.delete(id);
    }
    for (const { connection } of this.acceptedSessions) {
      connection.silentMs += Math.min(tick.elapsedMs, 2 * tickIntervalMs);
      if (connection.silentMs > this.limits.acceptedSilenceTimeoutMs) connection.terminate();
    }
    this.attemptGuard.sweep(tick.nowMs);
    this.lateAnswerLog.logIfDue(tick.nowMs);
  }
}
