package measure

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/hold"
	"github.com/yarrowmast/yarrowmast/pkg/pool"
)

// variant holds the options by which a policy differs from the fleet's defaults.
type variant struct {
	pool []pool.Option
	hold []hold.Option
}

// parsePolicy parses the name of a policy: fleet, owners, local, central, or fleet followed by changes
// such as /share=100ms, /report=250ms or /as-last-shared.
func parsePolicy(name string) (variant, error) {
	parts := strings.Split(name, "/")
	var v variant
	if name == PolicyOwners {
		return v, nil
	}
	if parts[0] != PolicyFleet {
		if len(parts) == 1 && (parts[0] == PolicyLocal || parts[0] == PolicyCentral) {
			return v, nil
		}
		return v, fmt.Errorf("policy %q is unknown; want fleet, owners, local, central, or fleet/ and a change", name)
	}
	for _, change := range parts[1:] {
		if err := v.apply(change); err != nil {
			return v, fmt.Errorf("policy %q: %w", name, err)
		}
	}
	return v, nil
}

// CheckPolicy returns an error if name is not a valid policy.
func CheckPolicy(name string) error {
	_, err := parsePolicy(name)
	return err
}

func (v *variant) apply(change string) error {
	key, value, hasValue := strings.Cut(change, "=")
	if change == "no-prefix" {
		v.hold = append(v.hold, hold.WithPrefixAffinity(false))
		return nil
	}
	if change == "no-run-on" {
		v.pool = append(v.pool, pool.WithExtrapolation(false))
		return nil
	}
	if !hasValue {
		v.pool = append(v.pool, pool.WithEstimator(pool.Estimator(change)))
		if change != string(pool.LastShare) && change != string(pool.ScaledByZones) {
			return fmt.Errorf("%q is not an estimator", change)
		}
		return nil
	}
	if key == "agree" {
		fraction, err := strconv.ParseFloat(value, 64)
		v.pool = append(v.pool, pool.WithConvergence(fraction))
		return err
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	switch key {
	case "share":
		v.pool = append(v.pool, pool.WithShareInterval(d))
	case "look-ahead":
		v.pool = append(v.pool, pool.WithChargeHorizon(d))
	case "report":
		v.hold = append(v.hold, hold.WithReportInterval(d))
	default:
		return fmt.Errorf("%q is not a setting", key)
	}
	return nil
}
