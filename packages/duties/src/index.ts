export { LeaseClock, readClocks, type ClockReading } from './lease-clock.js';
export {
  HoldingEnd,
  SingleHolderDuty,
  type DutyHolding,
  type SingleHolderDutyOptions,
} from './single-holder-duty.js';
