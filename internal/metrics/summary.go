package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// Summary parses metrics as written by a Server and returns one line for each sample that
// is not 0, sorted. For a histogram the line has the count, the mean, and the bound of the
// first bucket that covers the share summaryQuantile of the durations, in seconds.
func Summary(text io.Reader) ([]string, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return nil, errors.Wrap(err, "metrics: parse text format")
	}
	var lines []string
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			if line := summarize(metric); line != "" {
				lines = append(lines, name+formatLabels(metric)+" "+line)
			}
		}
	}
	slices.Sort(lines)
	return lines, nil
}

// summarize formats the value of a metric; it returns "" for 0.
func summarize(metric *dto.Metric) string {
	if histogram := metric.GetHistogram(); histogram != nil {
		return summarizeHistogram(histogram)
	}
	value := metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
	if value == 0 {
		return ""
	}
	return fmt.Sprintf("%.10g", value)
}

// summaryQuantile is the share of durations that the bound in a summary covers.
const summaryQuantile = 0.9

func summarizeHistogram(histogram *dto.Histogram) string {
	count := float64(histogram.GetSampleCount())
	if count == 0 {
		return ""
	}
	mean := histogram.GetSampleSum() / count
	for _, bucket := range histogram.GetBucket() {
		if float64(bucket.GetCumulativeCount()) >= summaryQuantile*count {
			return fmt.Sprintf("count %.0f, mean %.4g s, nine of ten below %g s", count, mean, bucket.GetUpperBound())
		}
	}
	return fmt.Sprintf("count %.0f, mean %.4g s", count, mean)
}

func formatLabels(metric *dto.Metric) string {
	var pairs []string
	for _, label := range metric.GetLabel() {
		pairs = append(pairs, label.GetName()+"="+label.GetValue())
	}
	if len(pairs) == 0 {
		return ""
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
