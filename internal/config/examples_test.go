package config

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against examples that fail the checks, and against examples that do not match
// the deployments in docs/design.md.
func TestExamples(t *testing.T) {
	for _, dir := range []string{"authority", "birlik"} {
		t.Run(dir, func(t *testing.T) {
			is := is.New(t)
			cfg, err := Collect([]string{"../../examples/" + dir}, FitSums, nil)
			is.NoErr(err)
			is.Equal(len(cfg.Services), 1)
			s := &cfg.Services[0]
			is.Equal(len(s.Customers), 4)
			is.Equal(len(s.Racks), 3)
			for _, r := range s.Racks {
				is.Equal(r.Racks*r.WorkersPerRack, 16)
				is.Equal(r.AcceleratorsPerWorker, 8)
			}
		})
	}
}
