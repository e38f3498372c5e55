package peerproto

import (
	"time"

	"frosthub/failover"
	"frosthub/idempotency"
)

func appendPageRequest(b []byte, request *failover.PageRequest) []byte {
	b = appendUint(b, pageRequestIncarnation, request.Incarnation)
	b = appendBytes(b, pageRequestFrom, appendCursor(nil, request.From))
	return b
}

func parsePageRequest(b []byte) (failover.PageRequest, error) {
	var request failover.PageRequest
	err := forEachField(b, func(f field) (err error) {
		switch f.number {
		case pageRequestIncarnation:
			request.Incarnation = f.uint
		case pageRequestFrom:
			request.From, err = parseCursor(f.bytes)
		}
		return err
	})
	return request, err
}

func appendCursor(b []byte, cursor failover.Cursor) []byte {
	b = appendUint(b, cursorStep, uint64(cursor.Step))
	b = appendUint(b, cursorPosition, cursor.Position)
	b = appendUint(b, cursorEnd, cursor.End)
	b = appendUint(b, cursorSegment, cursor.Segment)
	return b
}

func parseCursor(b []byte) (failover.Cursor, error) {
	var cursor failover.Cursor
	err := forEachField(b, func(f field) error {
		switch f.number {
		case cursorStep:
			if f.uint > uint64(failover.StepDone) {
				return ErrMalformed
			}
			cursor.Step = failover.TransferStep(f.uint)
		case cursorPosition:
			cursor.Position = f.uint
		case cursorEnd:
			cursor.End = f.uint
		case cursorSegment:
			cursor.Segment = f.uint
		}
		return nil
	})
	return cursor, err
}

func appendPage(b []byte, page *failover.Page) []byte {
	b = appendUint(b, pageIncarnation, page.Incarnation)
	b = appendFixed(b, pageConfiguration, page.Configuration)
	b = appendBytes(b, pageFrom, appendCursor(nil, page.From))
	b = appendBytes(b, pageNext, appendCursor(nil, page.Next))
	b = appendBool(b, pageComplete, page.Complete)
	b = appendBool(b, pageFencesSupported, page.FencesSupported)
	for i := range page.Records {
		b = appendElement(b, pageRecord, appendRecord(nil, &page.Records[i]))
	}
	for i := range page.InFlight {
		b = appendElement(b, pageInFlight, appendInFlight(nil, &page.InFlight[i]))
	}
	for i := range page.Expired {
		b = appendElement(b, pageExpired, appendExpired(nil, &page.Expired[i]))
	}
	return b
}

func parsePage(b []byte) (failover.Page, error) {
	var page failover.Page
	err := forEachField(b, func(f field) (err error) {
		switch f.number {
		case pageIncarnation:
			page.Incarnation = f.uint
		case pageConfiguration:
			page.Configuration = f.uint
		case pageFrom:
			page.From, err = parseCursor(f.bytes)
		case pageNext:
			page.Next, err = parseCursor(f.bytes)
		case pageComplete:
			page.Complete = f.bool()
		case pageRecord:
			var record idempotency.Record
			record, err = parseRecord(f.bytes)
			page.Records = append(page.Records, record)
		case pageInFlight:
			var inFlight failover.InFlightRequest
			inFlight, err = parseInFlight(f.bytes)
			page.InFlight = append(page.InFlight, inFlight)
		case pageExpired:
			var expired idempotency.ExpiredKeys
			expired, err = parseExpired(f.bytes)
			page.Expired = append(page.Expired, expired)
		case pageFencesSupported:
			page.FencesSupported = f.bool()
		}
		return err
	})
	return page, err
}

func appendRecord(b []byte, record *idempotency.Record) []byte {
	b = appendBytes(b, recordKey, record.Key[:])
	b = appendUint(b, recordKind, uint64(record.Kind))
	b = appendBytes(b, recordResult, record.Result)
	return b
}

func parseRecord(b []byte) (idempotency.Record, error) {
	var record idempotency.Record
	err := forEachField(b, func(f field) (err error) {
		switch f.number {
		case recordKey:
			record.Key, err = parseKey(f.bytes)
		case recordKind:
			record.Kind, err = parseRecordKind(f.uint)
		case recordResult:
			record.Result = f.copy()
		}
		return err
	})
	return record, err
}

// parseRecordKind accepts the kinds that stand for the outcome of a run, and 0 for an unknown outcome.
func parseRecordKind(v uint64) (idempotency.EntryKind, error) {
	kind := idempotency.EntryKind(v)
	switch kind {
	case 0, idempotency.EntryResult, idempotency.EntryFailed, idempotency.EntryResultTooLong:
		return kind, nil
	}
	return 0, ErrMalformed
}

func appendInFlight(b []byte, inFlight *failover.InFlightRequest) []byte {
	b = appendBytes(b, inFlightKey, inFlight.Key[:])
	b = appendBytes(b, inFlightBallot, appendBallot(nil, inFlight.Ballot))
	b = appendUint(b, inFlightMade, uint64(inFlight.Made))
	b = appendUint(b, inFlightLeft, uint64(inFlight.Left))
	b = appendUint(b, inFlightRun, inFlight.Run)
	b = appendUint(b, inFlightNotice, inFlight.Notice)
	return b
}

func parseInFlight(b []byte) (failover.InFlightRequest, error) {
	var inFlight failover.InFlightRequest
	err := forEachField(b, func(f field) (err error) {
		switch f.number {
		case inFlightKey:
			inFlight.Key, err = parseKey(f.bytes)
		case inFlightBallot:
			inFlight.Ballot, err = parseBallot(f.bytes)
		case inFlightMade:
			inFlight.Made = time.Duration(f.uint)
		case inFlightLeft:
			inFlight.Left = time.Duration(f.uint)
		case inFlightRun:
			inFlight.Run = f.uint
		case inFlightNotice:
			inFlight.Notice = f.uint
		}
		return err
	})
	return inFlight, err
}
