package loads

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Target size and budgets of section 1.5 of the design page.
const (
	targetDaemons    = 400
	targetServers    = 1_700
	targetRequests   = 21_000    // per second
	targetTokens     = 5_500_000 // per second
	targetWorkspaces = 47_000
	heartbeatsEach   = 2.0  // announcements of a backend server per second
	ticksEach        = 20.0 // ticks of a daemon per second

	budgetCore  = 0.025 // of one core
	budgetHeap  = 64e6  // bytes
	budgetBytes = 20e3  // bytes per second
)

// Sizes of the groups that replace the mechanisms which do not reach the
// target: the daemons of a group work with the same backend servers, and each
// daemon has links only to its group and to observers of the log.
const (
	groupDaemons    = 7
	groupServers    = 30  // 1,700 x 7 / 400
	groupObservers  = 2   // links of a daemon to observers
	groupHeartbeats = 1.0 // announcements of a backend server per second
	groupRecords    = 5 * time.Minute
)

// slopeSet holds the slopes from which the target size is worked out.
type slopeSet struct {
	announce, encode, request, records, tick, workspaces, tokens slope
	runs, changes, links, idleDaemons, idleEngines               slope
}

// load is what one mechanism costs one daemon at the target size.
type load struct {
	name        string
	formula     string
	core        float64 // share of one core
	heap, bytes float64 // bytes; bytes per second, sent and received
	serving     bool    // part of serving requests, outside the control budget
}

func perSecond(rate float64, c time.Duration) float64 { return rate * c.Seconds() }

// targetLoads returns the costs of one of the target's daemons with today's
// mechanisms.
func (m slopeSet) targetLoads() []load {
	requests := float64(targetRequests) / targetDaemons
	kept := requests * recordsKept.Seconds()
	tokens := float64(targetTokens) / targetDaemons
	heard := targetServers * heartbeatsEach
	own := heard / targetDaemons // announcements that servers send to this daemon
	links := 2 * float64(targetDaemons-1)
	half := m.encode.last().cpu / 2 // measured as encoding and decoding together
	return []load{
		{
			name: "idle peer links", formula: "2 x 399 links, each end half of the measured cost",
			core: perSecond(links/2, m.links.last().cpu), heap: links / 2 * m.links.last().heap,
			bytes: links * m.links.last().bytes,
		},
		{
			name: "announcements forwarded to every daemon", formula: "8.5/s sent to each of 399 peers",
			core: perSecond(own*(targetDaemons-1), half), bytes: own * (targetDaemons - 1) * m.encode.last().bytes,
		},
		{
			name: "announcements received", formula: "1,700 servers x 2/s",
			core:  perSecond(heard, half+m.announce.cpuAt(targetServers)),
			heap:  targetServers * m.announce.last().heap,
			bytes: (heard-own)*m.encode.last().bytes + own*float64(announcementBytes()),
		},
		{name: "requests in the reducer", formula: "52.5/s with 1,700 candidates", core: perSecond(requests, m.request.cpuAt(targetServers))},
		{name: "records kept 10 min", formula: "31,500 records", heap: kept * m.records.last().heap},
		{name: "ticks over records", formula: "20/s over 31,500 records", core: perSecond(ticksEach, m.tick.cpuAt(int(kept)))},
		{
			name: "entry with 47,000 workspaces", formula: "52.5/s, body of 16 KB", serving: true,
			core: perSecond(requests, m.workspaces.cpuAt(targetWorkspaces)), heap: targetWorkspaces * m.workspaces.last().heap,
		},
		{
			name: "tokens of streams", formula: "13,750/s", serving: true,
			core: perSecond(tokens, m.tokens.last().cpu), bytes: tokens * m.tokens.last().bytes,
		},
	}
}

// groupLoads returns the costs of one of the target's daemons when it belongs
// to a group. Servers announce themselves to their owner in the group.
func (m slopeSet) groupLoads() []load {
	requests := float64(targetRequests) / targetDaemons
	kept := requests * groupRecords.Seconds()
	links := 2 * float64(groupDaemons-1+groupObservers)
	heard := groupServers * groupHeartbeats
	own := heard / groupDaemons
	half := m.encode.last().cpu / 2
	return []load{
		{
			name: "idle peer links", formula: "2 x (6 daemons + 2 observers)",
			core: perSecond(links/2, m.links.last().cpu), heap: links / 2 * m.links.last().heap,
			bytes: links * m.links.last().bytes,
		},
		{
			name: "announcements forwarded in the group", formula: "4.3/s sent to each of 6 peers",
			core: perSecond(own*(groupDaemons-1), half), bytes: own * (groupDaemons - 1) * m.encode.last().bytes,
		},
		{
			name: "announcements received", formula: "30 servers x 1/s",
			core:  perSecond(heard, half+m.announce.cpuAt(groupServers)),
			heap:  groupServers * m.announce.last().heap,
			bytes: (heard-own)*m.encode.last().bytes + own*float64(announcementBytes()),
		},
		{name: "requests in the reducer", formula: "52.5/s with 30 candidates", core: perSecond(requests, m.request.cpuAt(groupServers))},
		{name: "records kept 5 min", formula: "15,750 records", heap: kept * m.records.last().heap},
	}
}

func (m slopeSet) writeTarget(w io.Writer) error {
	fmt.Fprintf(w, "\none of %d daemons; control budget %.1f%% of a core, %.0f MB, %.0f KB/s\n",
		targetDaemons, budgetCore*100, budgetHeap/1e6, budgetBytes/1e3)
	fmt.Fprintln(w, "\nwith today's mechanisms")
	if err := writeLoads(w, m.targetLoads()); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nwith groups of %d daemons and %d backend servers (not built)\n", groupDaemons, groupServers)
	return writeLoads(w, m.groupLoads())
}

func writeLoads(w io.Writer, loads []load) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "mechanism\tfrom\tcore\theap MB\tKB/s\tagainst the budget\t")
	var sum load
	for _, l := range loads {
		verdict := "serving, not counted"
		if !l.serving {
			verdict = l.verdict()
			sum.core, sum.heap, sum.bytes = sum.core+l.core, sum.heap+l.heap, sum.bytes+l.bytes
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f%%\t%.1f\t%.1f\t%s\t\n", l.name, l.formula, l.core*100, l.heap/1e6, l.bytes/1e3, verdict)
	}
	fmt.Fprintf(table, "sum of the control rows\t\t%.2f%%\t%.1f\t%.1f\t%s\t\n", sum.core*100, sum.heap/1e6, sum.bytes/1e3, sum.verdict())
	return table.Flush()
}

// verdict states the largest ratio to the budget when it is above one.
func (l load) verdict() string {
	worst := max(l.core/budgetCore, l.heap/budgetHeap, l.bytes/budgetBytes)
	if worst > 1 {
		return fmt.Sprintf("over, %.1f times", worst)
	}
	return fmt.Sprintf("within, %.0f%%", worst*100)
}
