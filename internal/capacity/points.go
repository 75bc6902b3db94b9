package capacity

import (
	_ "embed"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// DefaultFile is the path of the stored points relative to the root of the repository.
const DefaultFile = "internal/capacity/points.yaml"

//go:embed points.yaml
var storedPoints []byte

// Point is one measured value.
type Point struct {
	Size  float64 `yaml:"size" validate:"min=0"`
	Value float64 `yaml:"value"`
}

// Series is a quantity measured at several sizes.
type Series struct {
	// Name consists of the measurement and the quantity, such as "scheduler.request".
	Name string `yaml:"name" validate:"required"`
	// Size describes what the sizes of the points count.
	Size string `yaml:"size" validate:"required"`
	// Unit is the unit of the values.
	Unit string `yaml:"unit" validate:"required"`
	// Command is the command line that repeats the measurement.
	Command string `yaml:"command" validate:"required"`
	// Date is the day of the measurement.
	Date   string  `yaml:"date" validate:"required"`
	Points []Point `yaml:"points,flow" validate:"required,min=1,dive"`
}

// Points holds all measured series.
type Points struct {
	Series []Series `yaml:"series" validate:"dive"`
}

// EmbeddedPoints returns the points that are embedded in the program.
func EmbeddedPoints() (*Points, error) { return ParsePoints(storedPoints) }

// ParsePoints decodes and validates the content of a points file. Unknown keys are errors.
func ParsePoints(text []byte) (*Points, error) {
	p := new(Points)
	if err := config.DecodeStrict(text, p); err != nil {
		return nil, errors.Wrap(err, "decode points")
	}
	return p, errors.Wrap(config.ValidateStruct(p), "validate points")
}

// LoadPoints reads a points file. If the file does not exist, the result is empty.
func LoadPoints(file string) (*Points, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return new(Points), nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read points")
	}
	return ParsePoints(text)
}

// Save writes the points to a file, with the series sorted by name.
func (p *Points) Save(file string) error {
	slices.SortFunc(p.Series, func(a, b Series) int { return strings.Compare(a.Name, b.Name) })
	text, err := yaml.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode points")
	}
	return errors.Wrap(os.WriteFile(file, text, 0o644), "write points")
}

// Put adds a series, replacing any series with the same name.
func (p *Points) Put(s Series) {
	p.Series = slices.DeleteFunc(p.Series, func(o Series) bool { return o.Name == s.Name })
	p.Series = append(p.Series, s)
}

// Get returns the series with a name.
func (p *Points) Get(name string) (Series, bool) {
	i := slices.IndexFunc(p.Series, func(s Series) bool { return s.Name == name })
	if i < 0 {
		return Series{}, false
	}
	return p.Series[i], true
}
