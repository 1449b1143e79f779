package quota

import (
	"os"
	"testing"

	"damaskcrank.example/damaskcrank/internal/base/seeds"
)

func TestMain(m *testing.M) {
	seeds.Fix()
	os.Exit(m.Run())
}
