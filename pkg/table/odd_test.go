package table_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yarrowmast/yarrowmast/pkg/table"
)

// aliases returns YAML in which each of a number of lists repeats the one before ten times.
func aliases(levels int) string {
	var b strings.Builder
	b.WriteString("a0: &a0 [x,x,x,x,x,x,x,x,x,x]\n")
	for i := range levels {
		fmt.Fprintf(&b, "a%d: &a%d [%s]\n", i+1, i+1, strings.TrimSuffix(strings.Repeat(fmt.Sprintf("*a%d,", i), 10), ","))
	}
	return b.String()
}

// TestOddTables checks that a table with odd YAML is refused with problems, within bounded time and memory.
func TestOddTables(t *testing.T) {
	const (
		maxDuration = 30 * time.Second
		maxMemory   = 512 << 20
		account     = "accounts:\n- name: a\n  weight: 1\n  key_sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n"
		backend     = account + "backends:\n- name: b\n  zone: z\n  address: 10.0.0.1:80\n  models: [m]\n"
	)
	digits := strings.Repeat("9", 4000)
	tests := map[string]string{
		"lists, 50 deep":              "accounts: " + strings.Repeat("[", 50) + strings.Repeat("]", 50),
		"lists, 9,000 deep":           "accounts: " + strings.Repeat("[", 9000) + strings.Repeat("]", 9000),
		"lists, 200,000 deep":         "accounts: " + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"lists without an end":        strings.Repeat("[", 1<<20),
		"maps, 9,000 deep":            strings.Repeat("{a: ", 9000) + strings.Repeat("}", 9000),
		"maps without an end":         strings.Repeat("{a: ", 1<<18),
		"block lists":                 strings.Repeat("- ", 100_000) + "x",
		"keys of keys":                strings.Repeat("? ", 100_000) + "x",
		"block maps":                  blockMaps(2000),
		"aliases that expand":         aliases(9),
		"aliases in a field":          aliases(9) + "accounts: *a9\n",
		"alias of itself":             "accounts: &a [*a]\n",
		"merge of itself":             "accounts:\n- &a\n  <<: *a\n  name: x\n",
		"weight 1e400":                strings.Replace(account, "weight: 1", "weight: 1e400", 1),
		"weight .inf":                 strings.Replace(account, "weight: 1", "weight: .inf", 1),
		"weight .nan":                 strings.Replace(account, "weight: 1", "weight: .nan", 1),
		"weight of 4,000 digits":      strings.Replace(account, "weight: 1", "weight: "+digits, 1),
		"in_flight 2^64":              account + "  limits: {in_flight: 18446744073709551616}\n",
		"requests .inf":               account + "  limits: {requests_per_second: .inf}\n",
		"slots 2^63":                  backend + "  slots: 9223372036854775808\n",
		"slots 1e400":                 backend + "  slots: 1e400\n",
		"slots below 0":               backend + "  slots: -1\n",
		"port 65536":                  strings.Replace(backend, ":80", ":65536", 1) + "  slots: 1\n",
		"port below 0":                strings.Replace(backend, ":80", ":-1", 1) + "  slots: 1\n",
		"port of 11 digits":           strings.Replace(backend, ":80", ":99999999999", 1) + "  slots: 1\n",
		"port 0":                      strings.Replace(backend, ":80", ":0", 1) + "  slots: 1\n",
		"address of no host":          strings.Replace(backend, "10.0.0.1", "0.0.0.0", 1) + "  slots: 1\n",
		"timeout of 4,000 digits":     account + "routes:\n- {name: r, host: h, prefix: /, targets: [{service: s, weight: 1}], timeout: " + digits + "s}\n",
		"warmup rate .inf":            account + "services:\n- {name: s, warmup_rate: .inf}\n",
		"tokens per second .inf":      account + "bounds: {tokens_per_second: .inf}\n",
		"header bytes of 2^63-1":      account + "bounds: {header_bytes: 9223372036854775807}\n",
		"target latency of 292 years": account + "routes:\n- {name: r, host: h, prefix: /, targets: [{service: s, weight: 1}], target: 2562047h}\n",
		"no UTF-8":                    "accounts: \xff\xfe",
		"zero bytes":                  strings.Repeat("\x00", 1000),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, err := table.Parse("table.yaml", []byte(text))
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("the table is accepted")
			}
			if used := after.TotalAlloc - before.TotalAlloc; took > maxDuration || used > maxMemory {
				t.Errorf("it took %v and %d MB", took, used>>20)
			}
		})
	}
}

// blockMaps returns maps in maps, each in lines of its own.
func blockMaps(depth int) string {
	var b strings.Builder
	for i := range depth {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}
