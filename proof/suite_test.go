package proof_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestProof(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "proof")
}

// programs is the folder of the programs under test.
var programs string

var _ = ginkgo.BeforeSuite(func() {
	folder, err := os.MkdirTemp("", "dillsaddle-programs")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	programs = folder
	ginkgo.DeferCleanup(os.RemoveAll, folder)
	output, err := exec.Command("go", "build", "-o", folder, "../cmd/...").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
})
