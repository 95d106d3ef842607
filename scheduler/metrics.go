package scheduler

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	leasesGranted  = metrics.NewCounter("dillsaddle_leases_granted_total")
	leasesWithheld = metrics.NewCounter("dillsaddle_leases_withheld_total")
	workerPanics   = metrics.NewCounter("dillsaddle_worker_panics_total")
	loadFaults     = metrics.NewCounter("dillsaddle_load_faults_total")
)

func claimVerdicts(verdict string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf("dillsaddle_claim_verdicts_total{verdict=%q}", verdict))
}
