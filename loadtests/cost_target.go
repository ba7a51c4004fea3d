package loadtests

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Target size and budgets of section 1.5 of the design page.
const (
	targetDaemons           = 400
	targetServers           = 1_700
	targetRequestsPerSecond = 21_000
	targetTokensPerSecond   = 5_500_000
	targetWorkspaces        = 47_000
	heartbeatsPerSecond     = 2.0  // announcements of each backend server
	ticksPerSecond          = 20.0 // of each daemon

	budgetCoreShare      = 0.025 // of one core
	budgetHeapBytes      = 64e6
	budgetBytesPerSecond = 20e3 // sent and received
)

// Sizes of daemon groups, a proposed design that is not implemented. It would
// replace the mechanisms that exceed their budget at the target size: the daemons of
// a group share the same backend servers, and each daemon has links only to its
// group and to observers of the log.
const (
	groupDaemons             = 7
	groupServers             = 30  // 1,700 x 7 / 400
	groupObservers           = 2   // observers to which each daemon has a link
	groupHeartbeatsPerSecond = 1.0 // announcements of each backend server
	groupRecordRetention     = 5 * time.Minute
)

// costCurves holds the measured curves from which the costs at the target size are
// computed.
type costCurves struct {
	announcement, peerAnnouncement, reducerRequest, keptRecords, tick, entryRequest, streamTokens costCurve
	runRecords, operatorCommands, idleLinks, idleDaemons, idleEngines                             costCurve
}

// mechanismCost is the cost of one mechanism for one daemon at the target size.
type mechanismCost struct {
	name                      string
	formula                   string
	coreShare                 float64 // of one core
	heapBytes, bytesPerSecond float64 // bytesPerSecond counts sent and received bytes
	serving                   bool    // request processing, not counted in the control budget
}

// coreShareAt returns the share of a core that operations of a given processor time
// use at a rate per second.
func coreShareAt(rate float64, cpu time.Duration) float64 { return rate * cpu.Seconds() }

// targetCosts returns the costs of the current mechanisms for one daemon at the
// target size.
func (m costCurves) targetCosts() []mechanismCost {
	requests := float64(targetRequestsPerSecond) / targetDaemons
	records := requests * recordRetention.Seconds()
	tokens := float64(targetTokensPerSecond) / targetDaemons
	received := targetServers * heartbeatsPerSecond
	direct := received / targetDaemons // announcements sent by servers to this daemon
	links := 2 * float64(targetDaemons-1)
	oneSideCPU := m.peerAnnouncement.atLargestSize().cpu / 2 // the measured cost includes both encoding and decoding
	return []mechanismCost{
		{
			name: "idle peer links", formula: "2 x 399 links, each end half of the measured cost",
			coreShare: coreShareAt(links/2, m.idleLinks.atLargestSize().cpu), heapBytes: links / 2 * m.idleLinks.atLargestSize().heapBytes,
			bytesPerSecond: links * m.idleLinks.atLargestSize().wireBytes,
		},
		{
			name: "announcements forwarded to every daemon", formula: "8.5/s sent to each of 399 peers",
			coreShare: coreShareAt(direct*(targetDaemons-1), oneSideCPU), bytesPerSecond: direct * (targetDaemons - 1) * m.peerAnnouncement.atLargestSize().wireBytes,
		},
		{
			name: "announcements received", formula: "1,700 servers x 2/s",
			coreShare:      coreShareAt(received, oneSideCPU+m.announcement.cpuAtSize(targetServers)),
			heapBytes:      targetServers * m.announcement.atLargestSize().heapBytes,
			bytesPerSecond: (received-direct)*m.peerAnnouncement.atLargestSize().wireBytes + direct*float64(announcementBytes()),
		},
		{name: "requests in the reducer", formula: "52.5/s with 1,700 candidates", coreShare: coreShareAt(requests, m.reducerRequest.cpuAtSize(targetServers))},
		{name: "records kept 10 min", formula: "31,500 records", heapBytes: records * m.keptRecords.atLargestSize().heapBytes},
		{name: "ticks over records", formula: "20/s over 31,500 records", coreShare: coreShareAt(ticksPerSecond, m.tick.cpuAtSize(int(records)))},
		{
			name: "entry with 47,000 workspaces", formula: "52.5/s, body of 16 KB", serving: true,
			coreShare: coreShareAt(requests, m.entryRequest.cpuAtSize(targetWorkspaces)), heapBytes: targetWorkspaces * m.entryRequest.atLargestSize().heapBytes,
		},
		{
			name: "tokens of streams", formula: "13,750/s", serving: true,
			coreShare: coreShareAt(tokens, m.streamTokens.atLargestSize().cpu), bytesPerSecond: tokens * m.streamTokens.atLargestSize().wireBytes,
		},
	}
}

// groupCosts returns the costs for one daemon at the target size when it belongs to
// a group. Each server announces itself to the daemon of the group that owns it.
func (m costCurves) groupCosts() []mechanismCost {
	requests := float64(targetRequestsPerSecond) / targetDaemons
	records := requests * groupRecordRetention.Seconds()
	links := 2 * float64(groupDaemons-1+groupObservers)
	received := groupServers * groupHeartbeatsPerSecond
	direct := received / groupDaemons
	oneSideCPU := m.peerAnnouncement.atLargestSize().cpu / 2
	return []mechanismCost{
		{
			name: "idle peer links", formula: "2 x (6 daemons + 2 observers)",
			coreShare: coreShareAt(links/2, m.idleLinks.atLargestSize().cpu), heapBytes: links / 2 * m.idleLinks.atLargestSize().heapBytes,
			bytesPerSecond: links * m.idleLinks.atLargestSize().wireBytes,
		},
		{
			name: "announcements forwarded in the group", formula: "4.3/s sent to each of 6 peers",
			coreShare: coreShareAt(direct*(groupDaemons-1), oneSideCPU), bytesPerSecond: direct * (groupDaemons - 1) * m.peerAnnouncement.atLargestSize().wireBytes,
		},
		{
			name: "announcements received", formula: "30 servers x 1/s",
			coreShare:      coreShareAt(received, oneSideCPU+m.announcement.cpuAtSize(groupServers)),
			heapBytes:      groupServers * m.announcement.atLargestSize().heapBytes,
			bytesPerSecond: (received-direct)*m.peerAnnouncement.atLargestSize().wireBytes + direct*float64(announcementBytes()),
		},
		{name: "requests in the reducer", formula: "52.5/s with 30 candidates", coreShare: coreShareAt(requests, m.reducerRequest.cpuAtSize(groupServers))},
		{name: "records kept 5 min", formula: "15,750 records", heapBytes: records * m.keptRecords.atLargestSize().heapBytes},
	}
}

func (m costCurves) writeTarget(w io.Writer) error {
	fmt.Fprintf(w, "\none of %d daemons; control budget %.1f%% of a core, %.0f MB, %.0f KB/s\n",
		targetDaemons, budgetCoreShare*100, budgetHeapBytes/1e6, budgetBytesPerSecond/1e3)
	fmt.Fprintln(w, "\nwith today's mechanisms")
	if err := writeCosts(w, m.targetCosts()); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nwith groups of %d daemons and %d backend servers (not built)\n", groupDaemons, groupServers)
	return writeCosts(w, m.groupCosts())
}

func writeCosts(w io.Writer, costs []mechanismCost) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "mechanism\tfrom\tcore\theap MB\tKB/s\tagainst the budget\t")
	var sum mechanismCost
	for _, c := range costs {
		result := "serving, not counted"
		if !c.serving {
			result = c.budgetResult()
			sum.coreShare, sum.heapBytes, sum.bytesPerSecond = sum.coreShare+c.coreShare, sum.heapBytes+c.heapBytes, sum.bytesPerSecond+c.bytesPerSecond
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.1f\t%.1f\t%s\t\n", c.name, c.formula, c.coreShare*100, c.heapBytes/1e6, c.bytesPerSecond/1e3, result)
	}
	fmt.Fprintf(table, "sum of the control rows\t\t%.2f%%\t%.1f\t%.1f\t%s\t\n", sum.coreShare*100, sum.heapBytes/1e6, sum.bytesPerSecond/1e3, sum.budgetResult())
	return table.Flush()
}

// budgetResult compares the cost with the budget and states the ratio of the
// resource that uses the largest part of its budget.
func (c mechanismCost) budgetResult() string {
	highest := max(c.coreShare/budgetCoreShare, c.heapBytes/budgetHeapBytes, c.bytesPerSecond/budgetBytesPerSecond)
	if highest > 1 {
		return fmt.Sprintf("over, %.1f times", highest)
	}
	return fmt.Sprintf("within, %.0f%%", highest*100)
}
