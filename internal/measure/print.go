package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// PrintTable writes the results by account as a table.
func (r *Report) PrintTable(w io.Writer) {
	total := map[string]float64{}
	for _, a := range r.Accounts {
		total[a.Model] += a.Tokens
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "account\tmodel\tweight\tanswered\trefused\tin doubt\ttokens\tshare")
	for _, a := range r.Accounts {
		share := 0.0
		if total[a.Model] > 0 {
			share = 100 * a.Tokens / total[a.Model]
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%g\t%d\t%d\t%d\t%.0f\t%.1f%%\n", a.Name, a.Model, a.Weight, a.Answered, a.Refused, a.MayHaveRun, a.Tokens, share)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(w, "largest fairness gap: %.0f tokens, %s\n", r.FairnessGap, r.GapDescription)
}

// PrintJSON writes the report as one line of JSON.
func (r *Report) PrintJSON(w io.Writer) error {
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("measure: encode report: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}
