package event

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

// TestCatalogueMatchesDocs guards against a page docs/events.md that lacks an event, describes an event wrongly or has no
// instruction for the operator.
func TestCatalogueMatchesDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	var got, want []string
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if cells[0] == "" || strings.Trim(cells[0], "0123456789") != "" {
			continue
		}
		if len(cells) != 4 || cells[3] == "" {
			t.Errorf("got row %q, want number, level, text and what an operator does", line)
			continue
		}
		got = append(got, strings.Join(cells[:3], " | "))
	}
	for _, id := range slices.Sorted(maps.Keys(Catalogue)) {
		want = append(want, fmt.Sprintf("%d | %s | %s", id, Catalogue[id].Level, Catalogue[id].Text))
	}
	for _, row := range want {
		if !slices.Contains(got, row) {
			t.Errorf("docs/events.md lacks: %s", row)
		}
	}
	for _, row := range got {
		if !slices.Contains(want, row) {
			t.Errorf("docs/events.md has a row for an event that is not in the catalogue: %s", row)
		}
	}
	if !slices.IsSorted(got) || len(got) != len(slices.Compact(slices.Clone(got))) {
		t.Error("the rows of docs/events.md are not in ascending order or contain duplicates")
	}
}

// TestUniqueNumbers guards against two events with the same number, one of which would overwrite the other.
func TestUniqueNumbers(t *testing.T) {
	total := len(entryEvents) + len(requestEvents) + len(controlEvents) + len(coreEvents)
	if len(Catalogue) != total {
		t.Errorf("got %d events in the catalogue, want %d", len(Catalogue), total)
	}
}
