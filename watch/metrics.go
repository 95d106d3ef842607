package watch

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	configVersion  = metrics.NewGauge("dillsaddle_config_version", nil)
	listVersion    = metrics.NewGauge("dillsaddle_list_version", nil)
	platformCalls  = metrics.NewCounter("dillsaddle_platform_calls_total")
	platformBytes  = metrics.NewCounter("dillsaddle_platform_bytes_total")
	platformFaults = metrics.NewCounter("dillsaddle_platform_faults_total")
	peerFetches    = metrics.NewCounter("dillsaddle_peer_fetches_total")
)

func configRejected(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_config_rejected_total{reason=%q}", reason))
}
