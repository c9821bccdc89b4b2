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

// Summary reads figures as a Server writes them and gives one line for each that is not
// 0, sorted. Of a histogram it gives the number, the mean and a bound that nine of ten
// stay below, in seconds.
func Summary(text io.Reader) ([]string, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(text)
	if err != nil {
		return nil, errors.Wrap(err, "metrics: parse")
	}
	var lines []string
	for name, family := range families {
		for _, metric := range family.GetMetric() {
			if line := summarize(metric); line != "" {
				lines = append(lines, name+labelsOf(metric)+" "+line)
			}
		}
	}
	slices.Sort(lines)
	return lines, nil
}

// summarize gives the value of a metric, empty where it is 0.
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

// mostOf is the share of durations that the bound of a summary is above.
const mostOf = 0.9

func summarizeHistogram(histogram *dto.Histogram) string {
	count := float64(histogram.GetSampleCount())
	if count == 0 {
		return ""
	}
	mean := histogram.GetSampleSum() / count
	for _, bucket := range histogram.GetBucket() {
		if float64(bucket.GetCumulativeCount()) >= mostOf*count {
			return fmt.Sprintf("count %.0f, mean %.4g s, nine of ten below %g s", count, mean, bucket.GetUpperBound())
		}
	}
	return fmt.Sprintf("count %.0f, mean %.4g s", count, mean)
}

func labelsOf(metric *dto.Metric) string {
	var pairs []string
	for _, label := range metric.GetLabel() {
		pairs = append(pairs, label.GetName()+"="+label.GetValue())
	}
	if len(pairs) == 0 {
		return ""
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
