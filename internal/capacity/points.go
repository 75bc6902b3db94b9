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

// DefaultFile is where the points are stored, from the root of the repository.
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
	// Name is the measurement and the quantity, such as "scheduler.request".
	Name string `yaml:"name" validate:"required"`
	// Size says what the sizes count.
	Size string `yaml:"size" validate:"required"`
	// Unit of the values.
	Unit string `yaml:"unit" validate:"required"`
	// Command measures the series again.
	Command string `yaml:"command" validate:"required"`
	// Date of the measurement.
	Date   string  `yaml:"date" validate:"required"`
	Points []Point `yaml:"points,flow" validate:"required,min=1,dive"`
}

// Points are all measured series.
type Points struct {
	Series []Series `yaml:"series" validate:"dive"`
}

// Stored returns the points that the program was built with.
func Stored() (*Points, error) { return ParsePoints(storedPoints) }

// ParsePoints reads a file of points strictly.
func ParsePoints(text []byte) (*Points, error) {
	p := new(Points)
	if err := config.DecodeStrict(text, p); err != nil {
		return nil, errors.Wrap(err, "decode points")
	}
	return p, errors.Wrap(config.ValidateStruct(p), "check points")
}

// LoadPoints reads a file; a missing one holds no points.
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

// Save writes the file with the series in the order of their names.
func (p *Points) Save(file string) error {
	slices.SortFunc(p.Series, func(a, b Series) int { return strings.Compare(a.Name, b.Name) })
	text, err := yaml.Marshal(p)
	if err != nil {
		return errors.Wrap(err, "encode points")
	}
	return errors.Wrap(os.WriteFile(file, text, 0o644), "write points")
}

// Put adds a series or replaces the one with its name.
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
