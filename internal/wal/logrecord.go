package wal

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"eelgrasswharf.example/eelgrasswharf/api/raftpb"
)

// The payload of a log record is a series of protobuf fields.
const (
	hardStateField protowire.Number = 1
	entryField     protowire.Number = 2
	// snapshotField holds index and term of the current snapshot.
	snapshotField protowire.Number = 3
	// resetField replaces snapshotField if the snapshot replaces all entries before it.
	resetField protowire.Number = 4
)

var errMalformedPayload = errors.New("malformed payload")

// logRecord is the decoded payload of one record.
type logRecord struct {
	// snapshotMeta and reset are encoded first, since entries follow the snapshot.
	// snapshotMeta has only index and term.
	snapshotMeta *raftpb.Snapshot
	reset        bool
	hardState    *raftpb.HardState
	entries      []*raftpb.Entry
}

func appendMessage(dst []byte, field protowire.Number, m proto.Message) ([]byte, error) {
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	dst = protowire.AppendVarint(dst, uint64(proto.Size(m)))
	dst, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(dst, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return dst, nil
}

func (rec *logRecord) encode(dst []byte) ([]byte, error) {
	var err error
	if rec.snapshotMeta != nil {
		field := snapshotField
		if rec.reset {
			field = resetField
		}
		if dst, err = appendMessage(dst, field, rec.snapshotMeta); err != nil {
			return nil, err
		}
	}
	if rec.hardState != nil {
		if dst, err = appendMessage(dst, hardStateField, rec.hardState); err != nil {
			return nil, err
		}
	}
	for _, e := range rec.entries {
		if dst, err = appendMessage(dst, entryField, e); err != nil {
			return nil, err
		}
	}
	return dst, nil
}

func decodeLogRecord(payload []byte) (*logRecord, error) {
	rec := &logRecord{}
	for len(payload) > 0 {
		field, kind, n := protowire.ConsumeTag(payload)
		if n < 0 || kind != protowire.BytesType {
			return nil, errMalformedPayload
		}
		payload = payload[n:]
		value, n := protowire.ConsumeBytes(payload)
		if n < 0 {
			return nil, errMalformedPayload
		}
		payload = payload[n:]
		if err := rec.decodeField(field, value); err != nil {
			return nil, err
		}
	}
	return rec, nil
}

func (rec *logRecord) decodeField(field protowire.Number, value []byte) error {
	switch field {
	case hardStateField:
		rec.hardState = &raftpb.HardState{}
		return proto.Unmarshal(value, rec.hardState)
	case entryField:
		e := &raftpb.Entry{}
		rec.entries = append(rec.entries, e)
		return proto.Unmarshal(value, e)
	case snapshotField, resetField:
		rec.snapshotMeta = &raftpb.Snapshot{}
		rec.reset = field == resetField
		return proto.Unmarshal(value, rec.snapshotMeta)
	default:
		// Fields of a newer version must not be ignored.
		return errors.Wrapf(errMalformedPayload, "unknown field %d", field)
	}
}
