package settings

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Size is a number of bytes written as text, such as "160MB".
type Size struct{ Bytes int64 }

// sizeUnits are the units of a Size, longest names first.
var sizeUnits = []struct {
	name  string
	bytes float64
}{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1}}

// UnmarshalText parses a number that is not negative and its unit.
func (s *Size) UnmarshalText(text []byte) error {
	value := string(text)
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(value, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || !(n >= 0) || n*unit.bytes > math.MaxInt64/2 {
			break
		}
		s.Bytes = int64(n * unit.bytes)
		return nil
	}
	return errors.Errorf("%q is no size, expected a number and one of B, KB, MB and GB", value)
}
