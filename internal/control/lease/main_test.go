package lease

import (
	"os"
	"testing"

	"damaskcrank.example/damaskcrank/internal/base/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetDefault()
	os.Exit(m.Run())
}
