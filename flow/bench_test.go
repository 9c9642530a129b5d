package flow

import "testing"

// BenchmarkUpdate measures Update for a present flow in a table of 500,000.
func BenchmarkUpdate(b *testing.B) {
	const flows = 500_000
	table := NewTable(600_000)
	for i := range uint64(flows) {
		_ = table.Update(testKey(i), 0, func(e *Entry, _ bool) bool {
			e.SetState(Established)
			return true
		})
	}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		k := testKey(i % flows)
		_ = table.Update(k, 0, func(*Entry, bool) bool { return true })
		i += 7919
	}
}

// BenchmarkBytesPerFlow reports the memory per flow of a table that holds 500,000 flows.
func BenchmarkBytesPerFlow(b *testing.B) {
	var got float64
	for b.Loop() {
		got = bytesPerFlow(500_000, 600_000)
	}
	b.ReportMetric(got, "bytes/flow")
}
