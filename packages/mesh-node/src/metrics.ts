/** A number that a part of the node counts; read when metrics are asked for. */
export interface MetricSource {
  readonly name: string;
  readonly help: string;
  read(): number;
}

/**
 * Text of the metrics. The library is loaded with the first question, so that a node that is never
 * asked does not hold it.
 *
 * @example
 * const text = await renderMetrics(node.metricSources());
 */
export const renderMetrics = async (sources: readonly MetricSource[]): Promise<string> => {
  const { Gauge, Registry } = await import('prom-client');
  const registry = new Registry();
  for (const { name, help, read } of sources) {
    const gauge = new Gauge({ name, help, registers: [] });
    gauge.set(read());
    registry.registerMetric(gauge);
  }
  return registry.metrics();
};
