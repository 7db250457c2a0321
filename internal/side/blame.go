package side

import (
	"encoding/hex"
	"strings"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/pkg/blame"
	"briarworks.example/briarworks/pkg/call"
)

// connectBlame connects the requests that end servers with the local server and with other nodes.
func (n *Node) connectBlame() {
	t := &blame.Table{}
	n.Relay.Blame = &relay.Blame{
		Table: t, Server: n.Settings.Server, Now: time.Now, Identify: blame.Identify, ServerEnded: n.Backend.Ended,
		Share: func(changed []blame.Suspect) {
			n.logSuspects(changed, "server")
			n.Gossip.ShareSuspects(changed)
		},
		OnEnd: func(end blame.End, requests int) {
			n.Stats.CountEvent("serverEnded")
			n.Log.Warn("serverEnded", zap.Time("at", end.At), zap.Int("requests", requests))
		},
		OnConvicted: n.logConvicted,
	}
	n.Gossip.Blame = t
	n.Gossip.OnSuspects = func(changed []blame.Suspect) { n.logSuspects(changed, "peer") }
	n.Gossip.OnUnusable = func(suspects int) {
		n.Stats.CountEvent("suspectRejected")
		n.Log.Warn("suspectRejected", zap.Int("suspects", suspects))
	}
}

// logSuspects logs the suspects under which several servers have ended.
func (n *Node) logSuspects(changed []blame.Suspect, from string) {
	for _, s := range changed {
		if len(s.Ends) < blame.RepeatThreshold && s.Cleared.IsZero() {
			continue
		}
		n.Stats.CountEvent("suspectChanged")
		n.Log.Info("suspectChanged", zap.String("request", requestName(s.ID)), zap.String("ends", endList(s.Ends)),
			zap.Time("cleared", s.Cleared), zap.String("from", from))
	}
}

// logConvicted logs a request that is refused because servers end under it, with the evidence.
func (n *Node) logConvicted(req *call.Request, id blame.ID, v blame.Verdict) {
	n.Stats.CountEvent("requestConvicted")
	if ce := n.Log.Check(zap.InfoLevel, "requestConvicted"); ce != nil {
		ce.Write(zap.String("id", string(req.Key)), zap.String("kind", string(req.Kind)), zap.String("request", requestName(id)),
			zap.String("ends", endList(v.Ends)), zap.Duration("until", v.Until))
	}
}

// requestName returns the name of a request in the log.
func requestName(id blame.ID) string { return hex.EncodeToString(id[:4]) }

// endList returns ends as server@time, separated by commas.
func endList(ends []blame.End) string {
	names := make([]string, 0, len(ends))
	for _, e := range ends {
		names = append(names, string(e.Server)+"@"+e.At.UTC().Format("15:04:05.000"))
	}
	return strings.Join(names, ",")
}
