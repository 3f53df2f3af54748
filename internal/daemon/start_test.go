package daemon

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"teaselpaddle.example/teaselpaddle/internal/settings"
)

// Guards against a failed start that leaves listeners open: the addresses must be free
// for the next attempt. The peer address is in use, or a data folder cannot be opened.
func TestFailedStartReleasesAddresses(t *testing.T) {
	for _, extent := range []settings.Extent{settings.ExtentZone, settings.ExtentRegion} {
		for _, cause := range []string{"peer address", "data folder"} {
			t.Run(string(extent)+", "+cause, func(t *testing.T) {
				is := is.New(t)
				in := settings.Instance{
					Name: "c1", AvailabilityZone: "z0", Disk: true, ClientAddress: freeAddress(t), PeerAddress: freeAddress(t),
				}
				folder := filepath.Join(t.TempDir(), "file")
				is.NoErr(os.WriteFile(folder, nil, 0o600))
				if cause == "peer address" {
					ln, err := net.Listen("tcp", in.PeerAddress)
					is.NoErr(err)
					defer func() { _ = ln.Close() }()
				}
				s := &settings.Settings{
					Name: in.Name, Extent: extent, FirstStart: true, LeaseSeconds: 5, MaxRequests: 64, Instances: []settings.Instance{in}, DataFolder: folder,
				}
				is.True(Run(context.Background(), s, logr.Discard()) != nil)
				for _, address := range []string{in.ClientAddress, in.PeerAddress} {
					if cause == "peer address" && address == in.PeerAddress {
						continue
					}
					ln, err := net.Listen("tcp", address)
					is.NoErr(err)
					_ = ln.Close()
				}
			})
		}
	}
}
