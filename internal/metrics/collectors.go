package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"beechtide.org/beechtide/internal/histogram"
)

// Emit reports one sample of a metric, with the values of its labels in the order of their
// names.
type Emit func(value float64, labels ...string)

// readCollector reads the samples of one metric by a function on each scrape.
type readCollector struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(emit Emit)
}

// Describe implements prometheus.Collector.
func (c *readCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c *readCollector) Collect(out chan<- prometheus.Metric) {
	c.read(func(value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(c.desc, c.kind, value, labels...)
	})
}

// Counter returns a collector of a counter: values never decrease while the process runs.
func Counter(name, help string, labels []string, read func(emit Emit)) prometheus.Collector {
	return &readCollector{prometheus.NewDesc(name, help, labels, nil), prometheus.CounterValue, read}
}

// Gauge returns a collector of a gauge: values may increase and decrease.
func Gauge(name, help string, labels []string, read func(emit Emit)) prometheus.Collector {
	return &readCollector{prometheus.NewDesc(name, help, labels, nil), prometheus.GaugeValue, read}
}

// durationsCollector reads histograms of durations on each scrape.
type durationsCollector struct {
	desc    *prometheus.Desc
	byLabel map[string]*histogram.Durations
	labels  int // number of labels of the metric, 0 or 1
}

// Describe implements prometheus.Collector.
func (c *durationsCollector) Describe(out chan<- *prometheus.Desc) { out <- c.desc }

// Collect implements prometheus.Collector.
func (c *durationsCollector) Collect(out chan<- prometheus.Metric) {
	for value, durations := range c.byLabel {
		s := durations.Snapshot()
		labels := []string{value}[:c.labels]
		out <- prometheus.MustNewConstHistogram(c.desc, s.Count, s.SumSeconds, s.Cumulative, labels...)
	}
}

// Durations returns a collector of a histogram in seconds.
func Durations(name, help string, durations *histogram.Durations) prometheus.Collector {
	return &durationsCollector{prometheus.NewDesc(name, help, nil, nil), map[string]*histogram.Durations{"": durations}, 0}
}

// DurationsBy returns a collector of one histogram in seconds for each value of a label.
func DurationsBy(name, help, label string, byLabel map[string]*histogram.Durations) prometheus.Collector {
	return &durationsCollector{prometheus.NewDesc(name, help, []string{label}, nil), byLabel, 1}
}

// Bool returns 1 for true and 0 for false.
func Bool(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
