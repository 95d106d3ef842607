package proof_test

import (
	"context"
	"os/exec"
	"testing"
	"time"

	"dillsaddle.example/dillsaddle/proof"
)

// pathFleet starts one box before an engine that makes tokens quickly.
func pathFleet(b *testing.B) *proof.Fleet {
	folder := b.TempDir()
	if output, err := exec.Command("go", "build", "-o", folder, "../cmd/...").CombinedOutput(); err != nil {
		b.Fatal(err, string(output))
	}
	shape := proof.DefaultShape()
	shape.Boxes = 1
	shape.Engines = 1
	shape.MedianTokens = 200
	shape.StepTime = time.Millisecond
	shape.StepPerSequence = 0
	f, err := proof.Start(folder, shape)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	return f
}

// BenchmarkPath reads the same engine's streams through an entry and directly, in
// one run, so that their ratio is the path's cost.
func BenchmarkPath(b *testing.B) {
	f := pathFleet(b)
	read := func(b *testing.B, open func() (*proof.Stream, error)) {
		tokens := 0
		for b.Loop() {
			s, err := open()
			if err != nil {
				b.Fatal(err)
			}
			tokens += len(s.Tokens)
		}
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(tokens), "us/token")
	}
	b.Run("through", func(b *testing.B) {
		read(b, func() (*proof.Stream, error) { return f.ReadStream(context.Background(), 0, nil) })
	})
	b.Run("direct", func(b *testing.B) {
		read(b, func() (*proof.Stream, error) { return f.ReadDirect(context.Background(), 0) })
	})
}
