package peerproto

import "frosthub/membership"

func appendMember(b []byte, m *membership.Message) []byte {
	b = appendUint(b, memberKind, uint64(m.Kind))
	b = appendUint(b, memberNumber, m.Number)
	b = appendBytes(b, memberTarget, m.Target)
	for i := range m.Updates {
		b = appendElement(b, memberUpdate, appendUpdate(nil, &m.Updates[i]))
	}
	return b
}

func parseMember(b []byte) (membership.Message, error) {
	var m membership.Message
	err := forEachField(b, func(f field) error {
		switch f.number {
		case memberKind:
			m.Kind = membership.MessageKind(f.uint)
		case memberNumber:
			m.Number = f.uint
		case memberTarget:
			m.Target = f.string()
		case memberUpdate:
			update, err := parseUpdate(f.bytes)
			if err != nil {
				return err
			}
			m.Updates = append(m.Updates, update)
		}
		return nil
	})
	return m, err
}

func appendUpdate(b []byte, u *membership.Update) []byte {
	b = appendBytes(b, updateName, u.Name)
	b = appendUint(b, updateIncarnation, u.Incarnation)
	b = appendUint(b, updateRefutation, u.Refutation)
	b = appendUint(b, updateState, uint64(u.State))
	return b
}

func parseUpdate(b []byte) (membership.Update, error) {
	var u membership.Update
	err := forEachField(b, func(f field) error {
		switch f.number {
		case updateName:
			u.Name = f.string()
		case updateIncarnation:
			u.Incarnation = f.uint
		case updateRefutation:
			u.Refutation = f.uint
		case updateState:
			u.State = membership.State(min(f.uint, uint64(membership.Left)))
		}
		return nil
	})
	return u, err
}
