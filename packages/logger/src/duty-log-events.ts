import { defineEvent, EventLevel, type LogEvent } from './define-event.js';

/** Events of duties with one holder and of usage reports. */
export const dutyLogEvents = {
  dutyTaken: defineEvent(
    1800,
    EventLevel.Info,
    'dutyTaken',
    'This node holds a duty from now on; the token is the revision of its record.',
  ),
  dutyEnded: defineEvent(
    1801,
    EventLevel.Warn,
    'dutyEnded',
    'This node no longer holds a duty; the event names the reason.',
  ),
  dutyStoreFailed: defineEvent(
    1802,
    EventLevel.Warn,
    'dutyStoreFailed',
    'A call to the store for a duty failed; calls are repeated, and a holding ends with its lease.',
  ),
  usageFixed: defineEvent(
    1810,
    EventLevel.Info,
    'usageFixed',
    'The counts of windows were fixed in the store; they are sent next.',
  ),
  usageIncomplete: defineEvent(
    1811,
    EventLevel.Warn,
    'usageIncomplete',
    'The counts of windows were fixed although some nodes had not delivered theirs in time.',
  ),
  usageWindowOmitted: defineEvent(
    1812,
    EventLevel.Warn,
    'usageWindowOmitted',
    'A window is not reported, since another node may have reported it before the store was restored.',
  ),
  usageReportFailed: defineEvent(
    1813,
    EventLevel.Warn,
    'usageReportFailed',
    'A usage report got no success; it is repeated until its time limit.',
  ),
  usageReportGivenUp: defineEvent(
    1814,
    EventLevel.Warn,
    'usageReportGivenUp',
    'A usage report was not delivered within its time limit.',
  ),
  usageStoreFailed: defineEvent(
    1815,
    EventLevel.Warn,
    'usageStoreFailed',
    'A call to the store for usage reports failed; it is repeated.',
  ),
} as const satisfies Record<string, LogEvent>;
