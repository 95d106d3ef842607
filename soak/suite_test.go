package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "soak")
}

// program is the path of the box program, built for this run.
var program string

var _ = ginkgo.BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "dillsaddle-soak")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(os.RemoveAll, folder)
	program = filepath.Join(folder, "dillsaddle-node")
	output, err := exec.Command("go", "build", "-o", program, "../cmd/dillsaddle-node").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
})
