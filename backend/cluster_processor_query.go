package backend

import (
	"math"
	"time"

	"frosthub/failover"
	"frosthub/internal/conn"
	"frosthub/internal/processor"
	"frosthub/overload"
)

// processorQueryTimeout is how long to wait for the processor of a lost node.
const processorQueryTimeout = 100 * time.Millisecond

// processorQuery is a query to the processor of a lost node.
type processorQuery struct {
	conn     *conn.Conn // nil while connecting
	deadline time.Duration
}

// queryProcessor queries the processor of a lost node for the outcomes of the runs that the node had started. The
// processor sends the notices that it numbered higher than wanted.Notice.
func (c *cluster) queryProcessor(wanted failover.ProcessorQuery) {
	b := c.backend
	link := c.links[wanted.Node]
	if link == nil || link.processor == "" || c.processorQueries[wanted.Node] != nil {
		return
	}
	query := &processorQuery{}
	c.processorQueries[wanted.Node] = query
	b.loop.Dial(link.processor, func(opened *conn.Conn, err error) {
		if err != nil {
			delete(c.processorQueries, wanted.Node)
			return
		}
		query.conn = opened
		query.deadline = b.now + processorQueryTimeout
		opened.MaxUnsent = int(min(b.memoryShare(linkMemoryShare), math.MaxInt32))
		opened.SetInputLimit(opened.MaxUnsent)
		opened.OnClosed = func(error) { delete(c.processorQueries, wanted.Node) }
		parser := processor.NewParser(func(notice processor.Notice) { c.onLostNodeNotice(wanted.Node, opened, &notice) })
		opened.OnData = b.parseLogged("processor protocol error", parser.Feed)
		opened.Write(processor.AppendHello(nil, max(wanted.Notice, 1))) // 0 would mean that the processor's backend has restarted
	})
}

// onLostNodeNotice handles a notice of the processor of a lost node.
func (c *cluster) onLostNodeNotice(node string, from *conn.Conn, notice *processor.Notice) {
	switch notice.Kind {
	case processor.Hello:
		from.Write(processor.AppendGaugeRequest(nil, 1)) // the reply arrives after all notices that the processor has kept
	case processor.Complete:
		switch notice.Outcome {
		case overload.OK, overload.Failed, overload.Cancelled:
			c.node.FinishFromProcessor(c.backend.guard.now(), node, notice.ID, entryKindOf(notice.Outcome), notice.Body)
		}
	case processor.Gauges:
		from.CloseAfterSend(conn.ErrClosedLocally)
	}
}
