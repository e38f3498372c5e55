package peerproto

import (
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
)

func appendClaim(b []byte, m *failover.Message) []byte {
	b = appendUint(b, claimKind, uint64(m.Kind))
	b = appendBytes(b, claimKey, m.Key[:])
	b = appendBytes(b, claimBallot, appendBallot(nil, m.Ballot))
	b = appendBool(b, claimForce, m.Force)
	b = appendUint(b, claimMade, uint64(m.Made))
	b = appendUint(b, claimVote, uint64(m.Vote))
	b = appendBytes(b, claimHolder, appendBallot(nil, m.Holder))
	b = appendUint(b, claimOutcome, uint64(m.Outcome))
	b = appendBytes(b, claimResult, m.Result)
	if m.Work != nil {
		b = appendElement(b, claimWork, appendWork(nil, m.Work))
	}
	b = appendBool(b, claimReplayable, m.Replayable)
	b = appendUint(b, claimRun, m.Run)
	b = appendUint(b, claimNotice, m.Notice)
	for _, fence := range m.Fences {
		b = appendElement(b, claimFence, appendFence(nil, fence))
	}
	return b
}

func parseClaim(b []byte) (failover.Message, error) {
	var m failover.Message
	err := forEachField(b, func(f field) (err error) {
		switch f.number {
		case claimKind:
			m.Kind = failover.MessageKind(f.uint)
		case claimKey:
			m.Key, err = parseKey(f.bytes)
		case claimBallot:
			m.Ballot, err = parseBallot(f.bytes)
		case claimForce:
			m.Force = f.bool()
		case claimMade:
			m.Made = time.Duration(f.uint)
		case claimVote:
			m.Vote = failover.Vote(f.uint)
		case claimHolder:
			m.Holder, err = parseBallot(f.bytes)
		case claimOutcome:
			m.Outcome = idempotency.EntryKind(f.uint)
		case claimResult:
			m.Result = f.copy()
		case claimWork:
			var work failover.Work
			work, err = parseWork(f.bytes)
			m.Work = &work
		case claimReplayable:
			m.Replayable = f.bool()
		case claimRun:
			m.Run = f.uint
		case claimNotice:
			m.Notice = f.uint
		case claimFence:
			var fence failover.Fence
			fence, err = parseFence(f.bytes)
			m.Fences = append(m.Fences, fence)
		}
		return err
	})
	return m, err
}

// parseKey decodes a key, whose length is fixed.
func parseKey(b []byte) (idempotency.Key, error) {
	var key idempotency.Key
	if len(b) != len(key) {
		return key, ErrMalformed
	}
	return idempotency.Key(b), nil
}

func appendBallot(b []byte, ballot failover.Ballot) []byte {
	b = appendUint(b, ballotNumber, ballot.Number)
	b = appendBytes(b, ballotNode, ballot.Node)
	b = appendUint(b, ballotIncarnation, ballot.Incarnation)
	return b
}

func parseBallot(b []byte) (failover.Ballot, error) {
	var ballot failover.Ballot
	err := forEachField(b, func(f field) error {
		switch f.number {
		case ballotNumber:
			ballot.Number = f.uint
		case ballotNode:
			ballot.Node = f.string()
		case ballotIncarnation:
			ballot.Incarnation = f.uint
		}
		return nil
	})
	return ballot, err
}

func appendWork(b []byte, work *failover.Work) []byte {
	b = appendBytes(b, workHandler, work.Handler)
	b = appendBytes(b, workBody, work.Body)
	b = appendUint(b, workLeft, uint64(work.Left))
	b = appendUint(b, workCost, uint64(work.Cost))
	b = appendDouble(b, workSize, work.Size)
	b = appendDouble(b, workRank, work.Rank)
	b = appendDouble(b, workWeight, work.Weight)
	b = appendBool(b, workReplayable, work.Replayable)
	return b
}

func parseWork(b []byte) (failover.Work, error) {
	var work failover.Work
	err := forEachField(b, func(f field) error {
		switch f.number {
		case workHandler:
			work.Handler = f.string()
		case workBody:
			work.Body = f.copy()
		case workLeft:
			work.Left = int64(f.uint)
		case workCost:
			work.Cost = int64(f.uint)
		case workSize:
			work.Size = f.float()
		case workRank:
			work.Rank = f.float()
		case workWeight:
			work.Weight = f.float()
		case workReplayable:
			work.Replayable = f.bool()
		}
		return nil
	})
	return work, err
}

func appendFence(b []byte, fence failover.Fence) []byte {
	b = appendBytes(b, fenceNode, fence.Node)
	b = appendUint(b, fenceIncarnation, fence.Incarnation)
	return b
}

func parseFence(b []byte) (failover.Fence, error) {
	var fence failover.Fence
	err := forEachField(b, func(f field) error {
		switch f.number {
		case fenceNode:
			fence.Node = f.string()
		case fenceIncarnation:
			fence.Incarnation = f.uint
		}
		return nil
	})
	return fence, err
}
