import { Gauge, Registry } from 'prom-client';

/** A number that a component of the node provides; it is read when metrics are requested. */
export interface MetricSource {
  readonly name: string;
  readonly help: string;
  read(): number;
}

/** Numbers that a component of the node provides for each value of a label. */
export interface LabelledMetricSource {
  readonly name: string;
  readonly help: string;
  readonly labelName: string;
  readByLabel(): ReadonlyMap<string, number>;
}

/**
 * Creates a registry that reads the metrics from the components of the node on demand, so that the
 * request path does no work for them.
 *
 * @example
 * createMetricsRegistry([{ name: 'sequoiafield_config_version', help: 'In force', read: () => 7 }]);
 */
export const createMetricsRegistry = (
  sources: readonly MetricSource[],
  labelledSources: readonly LabelledMetricSource[] = [],
): Registry => {
  const registry = new Registry();
  sources.forEach(({ name, help, read }) => {
    registry.registerMetric(
      new Gauge({
        name,
        help,
        registers: [],
        collect() {
          this.set(read());
        },
      }),
    );
  });
  labelledSources.forEach(({ name, help, labelName, readByLabel }) => {
    registry.registerMetric(
      new Gauge({
        name,
        help,
        labelNames: [labelName],
        registers: [],
        collect() {
          readByLabel().forEach((value, label) => this.set({ [labelName]: label }, value));
        },
      }),
    );
  });
  return registry;
};
