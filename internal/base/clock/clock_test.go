package clock

import (
	"testing"

	"github.com/matryer/is"
)

func TestBootAdvancesWithoutMonotonicReading(t *testing.T) {
	is := is.New(t)
	boot := NewBoot()
	first := boot.Now()
	is.Equal(first, first.Round(0))
	is.True(!boot.Now().Before(first))
	is.True(boot.Since(first) >= 0)
	is.True(boot.Until(first) <= 0)
}
