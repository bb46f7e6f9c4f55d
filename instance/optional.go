package instance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// Number is a number in the settings that may be missing. The platform fills in an empty string for a value that a
// deployment does not have, so numbers and booleans of this kind are written as strings in the template.
type Number struct {
	Value float64
	// Set states that the settings hold a value.
	Set bool
}

// UnmarshalJSON implements json.Unmarshaler. It accepts a number, a number in a string, and an empty string or null for none.
func (n *Number) UnmarshalJSON(data []byte) error {
	text, err := optionalText(data)
	if err != nil || text == "" {
		*n = Number{}
		return err
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("%q is not a number", text)
	}
	*n = Number{Value: value, Set: true}
	return nil
}

// Or returns the value, or other if there is none.
func (n Number) Or(other float64) float64 {
	if n.Set {
		return n.Value
	}
	return other
}

// Flag is a boolean in the settings that may be missing, see Number.
type Flag struct {
	Value bool
	// Set states that the settings hold a value.
	Set bool
}

// UnmarshalJSON implements json.Unmarshaler. It accepts a boolean, a boolean in a string, and an empty string or null for none.
func (f *Flag) UnmarshalJSON(data []byte) error {
	text, err := optionalText(data)
	if err != nil || text == "" {
		*f = Flag{}
		return err
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", text)
	}
	*f = Flag{Value: value, Set: true}
	return nil
}

// optionalText returns the text of a JSON value, without the quotes of a string; empty for null.
func optionalText(data []byte) (string, error) {
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, []byte("null")) {
		return "", nil
	}
	if len(data) > 0 && data[0] == '"' {
		var text string
		err := json.Unmarshal(data, &text)
		return text, err
	}
	return string(data), nil
}
