package loadtests

import (
	"testing"
	"time"
)

// Guards against costs at the target size that are below the smallest sample or not on
// the regression line.
func TestCostCurveFit(t *testing.T) {
	curveOf := func(values ...time.Duration) costCurve {
		curve := costCurve{}
		for i, v := range values {
			curve.samples = append(curve.samples, costSample{(i + 1) * 100, operationCost{cpu: v}})
		}
		return curve
	}
	for _, tc := range []struct {
		name  string
		curve costCurve
		size  int
		want  time.Duration
	}{
		{"grows with size", curveOf(10, 20, 30), 1_000, 100},
		{"constant", curveOf(7, 7, 7), 1_000, 7},
		{"falls with size", curveOf(30, 20, 10), 1_000, 10},
	} {
		if got := tc.curve.cpuAtSize(tc.size); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.name, got, tc.want)
		}
	}
}

// Guards against a result that does not show the resource that exceeds its budget most.
func TestBudgetResult(t *testing.T) {
	for _, tc := range []struct {
		cost mechanismCost
		want string
	}{
		{mechanismCost{coreShare: budgetCoreShare / 2}, "within, 50%"},
		{mechanismCost{coreShare: budgetCoreShare / 2, bytesPerSecond: budgetBytesPerSecond * 3}, "over, 3.0 times"},
		{mechanismCost{heapBytes: budgetHeapBytes * 2}, "over, 2.0 times"},
	} {
		if got := tc.cost.budgetResult(); got != tc.want {
			t.Errorf("%+v: got %q, want %q", tc.cost, got, tc.want)
		}
	}
}

// Guards against requests that the reducer refuses: the measured cost of a served
// request would be too low.
func TestReducerServesEveryMeasuredRequest(t *testing.T) {
	now := time.Unix(0, 0)
	r := newReducerWithServers(now, 3)
	for i := range 5 {
		if !serveRequest(r, now, i) {
			t.Errorf("request %d was not started", i)
		}
	}
}
