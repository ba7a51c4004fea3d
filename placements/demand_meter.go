package placements

import (
	"maps"
	"slices"
	"time"

	"gypsumshelf.example/gypsumshelf"
)

// reportExpiry is the time after which the last report of a silent daemon is
// discarded.
const reportExpiry = 10 * time.Second

// averageWeight is the weight of the newest sample in the moving average of the
// demand.
const averageWeight = 0.1

// DemandMeter averages the demand of a daemon and adds up the reports of all
// daemons.
type DemandMeter struct {
	currentTokens map[string]float64
	average       map[string]float64
	lastSampleAt  time.Time
	reports       map[gypsumshelf.DaemonID]Report
	reportedAt    map[gypsumshelf.DaemonID]time.Time
}

// NewDemandMeter returns a DemandMeter without demand.
func NewDemandMeter() *DemandMeter {
	return &DemandMeter{
		currentTokens: map[string]float64{}, average: map[string]float64{},
		reports: map[gypsumshelf.DaemonID]Report{}, reportedAt: map[gypsumshelf.DaemonID]time.Time{},
	}
}

// AddRequest adds the prompt tokens of an arrived request.
func (m *DemandMeter) AddRequest(model string, tokens int) { m.currentTokens[model] += float64(tokens) }

// LocalDemand updates and returns the average demand of this daemon. It is
// called about once a second.
func (m *DemandMeter) LocalDemand(now time.Time) Report {
	if elapsed := now.Sub(m.lastSampleAt).Seconds(); !m.lastSampleAt.IsZero() && elapsed > 0 {
		for model, average := range m.average {
			m.average[model] = (1 - averageWeight) * average
			if m.average[model] < 1 && m.currentTokens[model] == 0 {
				delete(m.average, model)
			}
		}
		for model, tokens := range m.currentTokens {
			m.average[model] += averageWeight * tokens / elapsed
		}
	}
	m.lastSampleAt = now
	clear(m.currentTokens)
	return Report{Tokens: maps.Clone(m.average)}
}

// StoreReport stores the report of a daemon.
func (m *DemandMeter) StoreReport(now time.Time, from gypsumshelf.DaemonID, r Report) {
	m.reports[from], m.reportedAt[from] = r, now
}

// TotalDemand returns the demand of all daemons, sorted by model. serviceOf
// returns the service whose engines may hold a model, or an empty name for an
// unknown model, which is left out.
func (m *DemandMeter) TotalDemand(now time.Time, serviceOf func(model string) string) []Demand {
	sum := map[string]float64{}
	for from, at := range m.reportedAt {
		if now.Sub(at) > reportExpiry {
			delete(m.reports, from)
			delete(m.reportedAt, from)
			continue
		}
		for model, tokens := range m.reports[from].Tokens {
			sum[model] += tokens
		}
	}
	var demand []Demand
	for _, model := range slices.Sorted(maps.Keys(sum)) {
		if service := serviceOf(model); service != "" {
			demand = append(demand, Demand{Model: model, Service: service, Tokens: sum[model]})
		}
	}
	return demand
}
