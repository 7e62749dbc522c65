import { wallNowUnixMs } from '@sequoiafield/tables';
import type { FleetAnswer } from '@sequoiafield/types';
import {
  burnWindows,
  plotPointMinutes,
  type BurnAnswer,
  type BurnCounts,
  type BurnReport,
  type BurnServiceRow,
  type ServiceBurn,
} from './burn-types.js';

const longestWindowDays = Math.max(...burnWindows.map(({ minutes }) => minutes)) / 1440;

const calculateBurnRate = ({ good, bad }: BurnCounts, targetPercent: number): number => {
  const allowedShare = Math.max(1e-6, 1 - targetPercent / 100);
  return good + bad > 0 ? bad / (good + bad) / allowedShare : 0;
};

const summarizeService = (service: string, burn: ServiceBurn): BurnServiceRow => {
  const { targetPercent, latencyMs, windowDays } = burn;
  const windows = burnWindows.map(({ name }, index) => {
    const counts = burn.windows[index] ?? { good: 0, bad: 0 };
    return { name, ...counts, burnRate: calculateBurnRate(counts, targetPercent) };
  });
  const longestWindowBurnRate = windows[windows.length - 1]?.burnRate ?? 0;
  const points = Object.entries(burn.points)
    .map(([at, counts]) => ({
      atUnixMs: Number(at) * plotPointMinutes * 60_000,
      burnRate: calculateBurnRate(counts, targetPercent),
    }))
    .sort((left, right) => left.atUnixMs - right.atUnixMs);
  return {
    ...{ service, targetPercent, latencyMs, windowDays, windows, points },
    budgetLeftPercent: 100 * (1 - longestWindowBurnRate),
    objectiveSpentPercent: (100 * longestWindowBurnRate * longestWindowDays) / windowDays,
  };
};

const compareWorstFirst = (left: BurnServiceRow, right: BurnServiceRow): number => {
  const compareWindow = (index: number): number =>
    (right.windows[index]?.burnRate ?? 0) - (left.windows[index]?.burnRate ?? 0);
  return compareWindow(1) || compareWindow(2) || (left.service < right.service ? -1 : 1);
};

/**
 * Converts the merged answer of a fleet query into the report, worst service first.
 *
 * @example
 * const answer = await fleetQuery.ask(FleetQueryKind.BurnWindows, undefined, 2000);
 * console.log(formatBurnTable(summarizeBurn(answer)));
 */
export const summarizeBurn = (answer: FleetAnswer<BurnAnswer>): BurnReport => ({
  atUnixMs: wallNowUnixMs(),
  answeredNodes: answer.answered,
  totalNodes: answer.total,
  missingNodeIds: answer.missingIds,
  services: Object.entries(answer.value ?? {})
    .map(([service, burn]) => summarizeService(service, burn))
    .sort(compareWorstFirst),
});
