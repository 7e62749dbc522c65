/** A number that a component of the node provides; it is read when metrics are requested. */
export interface MetricSource {
  readonly name: string;
  readonly help: string;
  read(): number;
}

/**
 * Renders metrics as text. The metrics library is loaded by the first request, so that a node
 * without such requests does not keep it in memory.
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
