package release

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/redwingnotch/redwingnotch/fleet"
)

// ErrEncoding reports data that can't be decoded as a head, state or difference,
// or that is inconsistent.
var ErrEncoding = errors.New("malformed release data")

// maxDecodedBytes is the largest size that compressed data may expand to.
const maxDecodedBytes = 64 << 20

// EncodeDifference returns the difference as a compressed DifferenceRecord.
func EncodeDifference(d *Difference) []byte {
	r := &DifferenceRecord{
		Version: d.Version, Operator: d.Operator, Writer: d.Writer, Title: d.Title, AcceptedMs: d.AcceptedAt.UnixMilli(),
	}
	for _, m := range d.Models {
		r.Models = append(r.Models, modelRecord(m))
	}
	for _, a := range d.Adapters {
		r.Adapters = append(r.Adapters, adapterRecord(a))
	}
	for _, k := range d.Ranks {
		r.Ranks = append(r.Ranks, rankRecord(k))
	}
	for _, id := range d.ForgottenModels {
		r.ForgottenModels = append(r.ForgottenModels, string(id))
	}
	for _, key := range d.ForgottenAdapters {
		r.ForgottenAdapters = append(r.ForgottenAdapters, &AdapterKeyRecord{Model: string(key.Model), Id: string(key.ID)})
	}
	return encode(r)
}

// DecodeDifference decodes the output of EncodeDifference. It fails with
// ErrEncoding.
func DecodeDifference(data []byte) (*Difference, error) {
	r := &DifferenceRecord{}
	if err := decode(data, r); err != nil {
		return nil, fmt.Errorf("difference: %w", err)
	}
	d := &Difference{
		Version: r.Version, Operator: r.Operator, Writer: r.Writer, Title: r.Title, AcceptedAt: time.UnixMilli(r.AcceptedMs),
	}
	for _, m := range r.Models {
		d.Models = append(d.Models, modelFromRecord(m))
	}
	for _, a := range r.Adapters {
		d.Adapters = append(d.Adapters, adapterFromRecord(a))
	}
	for _, k := range r.Ranks {
		d.Ranks = append(d.Ranks, rankFromRecord(k))
	}
	for _, id := range r.ForgottenModels {
		d.ForgottenModels = append(d.ForgottenModels, fleet.ModelID(id))
	}
	for _, key := range r.ForgottenAdapters {
		d.ForgottenAdapters = append(d.ForgottenAdapters, AdapterKey{Model: fleet.ModelID(key.Model), ID: fleet.AdapterID(key.Id)})
	}
	return d, nil
}

// EncodeState returns the state as a compressed StateRecord.
func EncodeState(s *State) []byte {
	r := &StateRecord{Version: s.Version, AcceptedMs: s.AcceptedAt.UnixMilli(), Operator: s.Operator}
	for _, m := range s.sortedModels() {
		r.Models = append(r.Models, modelRecord(m))
	}
	for _, a := range s.sortedAdapters() {
		r.Adapters = append(r.Adapters, adapterRecord(a))
	}
	for _, k := range s.Ranks() {
		r.Ranks = append(r.Ranks, rankRecord(k))
	}
	return encode(r)
}

// DecodeState decodes the output of EncodeState. It fails with ErrEncoding.
func DecodeState(data []byte) (*State, error) {
	r := &StateRecord{}
	if err := decode(data, r); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	s := NewState()
	s.Version = r.Version
	s.AcceptedAt = time.UnixMilli(r.AcceptedMs)
	s.Operator = r.Operator
	for _, m := range r.Models {
		s.models[fleet.ModelID(m.Id)] = modelFromRecord(m)
	}
	for _, a := range r.Adapters {
		row := adapterFromRecord(a)
		s.adapters[row.AdapterKey] = row
	}
	for _, k := range r.Ranks {
		s.ranks[fleet.Rank(k.Rank)] = rankFromRecord(k)
	}
	return s, nil
}

// encode marshals the message and compresses it.
func encode(m proto.Message) []byte {
	plain, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("release: encode %T: %v", m, err)) // can't happen: strings are checked to be UTF-8 when parsed
	}
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(plain)
	_ = w.Close()
	return out.Bytes()
}

func decode(data []byte, m proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes+1))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrEncoding, err)
	}
	if len(plain) > maxDecodedBytes {
		return fmt.Errorf("%w: more than %d bytes", ErrEncoding, maxDecodedBytes)
	}
	if err := proto.Unmarshal(plain, m); err != nil {
		return fmt.Errorf("%w: %v", ErrEncoding, err)
	}
	return nil
}

func modelRecord(m Model) *ModelRecord {
	r := &ModelRecord{
		Id: string(m.ID), Version: string(m.Version), MemoryBytes: m.MemoryBytes, LoadTimeMs: m.LoadTime.Milliseconds(),
		Slots: uint32(m.Slots), WithdrawnIn: m.WithdrawnIn,
	}
	for _, c := range m.Replicas {
		r.Replicas = append(r.Replicas, &ReplicasRecord{Cell: string(c.Cell), Count: uint32(c.Count)})
	}
	for _, k := range m.Ranks {
		r.Ranks = append(r.Ranks, uint32(k))
	}
	return r
}

func modelFromRecord(r *ModelRecord) Model {
	m := Model{
		ID: fleet.ModelID(r.Id), Version: fleet.Version(r.Version), MemoryBytes: r.MemoryBytes,
		LoadTime: time.Duration(r.LoadTimeMs) * time.Millisecond, Slots: int(r.Slots), WithdrawnIn: r.WithdrawnIn,
	}
	for _, c := range r.Replicas {
		m.Replicas = append(m.Replicas, CellReplicas{Cell: fleet.CellID(c.Cell), Count: int(c.Count)})
	}
	for _, k := range r.Ranks {
		m.Ranks = append(m.Ranks, fleet.Rank(k))
	}
	return m
}

func adapterRecord(a Adapter) *AdapterRecord {
	return &AdapterRecord{
		Model: string(a.Model), Id: string(a.ID), Version: string(a.Version), MemoryBytes: a.MemoryBytes, WithdrawnIn: a.WithdrawnIn,
	}
}

func adapterFromRecord(r *AdapterRecord) Adapter {
	return Adapter{
		AdapterKey: AdapterKey{Model: fleet.ModelID(r.Model), ID: fleet.AdapterID(r.Id)},
		Version:    fleet.Version(r.Version), MemoryBytes: r.MemoryBytes, WithdrawnIn: r.WithdrawnIn,
	}
}

func rankRecord(k RankSettings) *RankRecord {
	return &RankRecord{Rank: uint32(k.Rank), TargetMs: k.Target.Milliseconds(), Floor: k.Floor, Worth: k.Worth}
}

func rankFromRecord(r *RankRecord) RankSettings {
	return RankSettings{
		Rank: fleet.Rank(r.Rank), Target: time.Duration(r.TargetMs) * time.Millisecond, Floor: r.Floor, Worth: r.Worth,
	}
}
