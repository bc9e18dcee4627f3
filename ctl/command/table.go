package command

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// fieldOf returns a field of a response. A response that is not an object is returned whole. If the field is missing,
// fieldOf returns the only list of the response, so that responses of members of another version can still be read.
func fieldOf(response any, field string) any {
	object, ok := response.(map[string]any)
	if !ok {
		return response
	}
	if value, ok := object[field]; ok {
		return value
	}
	var lists []any
	for _, value := range object {
		if list, ok := value.([]any); ok {
			lists = append(lists, list)
		}
	}
	if len(lists) == 1 {
		return lists[0]
	}
	return nil
}

// tableRows returns a header and one row for each object of a list, with those columns that occur in any object. A
// value that is nested objects in place of a list becomes one row per leaf, which starts with the path of the leaf.
func tableRows(value any, columns []string) [][]string {
	list, ok := value.([]any)
	if !ok {
		if leaves := leafRows(value, nil); len(leaves) > 0 {
			return leaves
		}
		return [][]string{{"none"}}
	}
	if len(list) == 0 {
		return [][]string{{"none"}}
	}
	used := slices.DeleteFunc(slices.Clone(columns), func(column string) bool {
		return !slices.ContainsFunc(list, func(item any) bool {
			object, _ := item.(map[string]any)
			_, has := object[column]
			return has
		})
	})
	header := make([]string, len(used))
	for i, column := range used {
		header[i] = columnTitle(column)
	}
	rows := [][]string{header}
	for _, item := range list {
		object, ok := item.(map[string]any)
		if !ok {
			rows = append(rows, []string{formatValue(item)})
			continue
		}
		row := make([]string, len(used))
		for i, column := range used {
			row[i] = formatValue(object[column])
		}
		rows = append(rows, row)
	}
	return rows
}

func leafRows(value any, path []string) [][]string {
	object, ok := value.(map[string]any)
	if !ok {
		if value == nil {
			return nil
		}
		return [][]string{append(slices.Clone(path), formatValue(value))}
	}
	var rows [][]string
	for _, key := range slices.Sorted(maps.Keys(object)) {
		rows = append(rows, leafRows(object[key], append(slices.Clone(path), key))...)
	}
	return rows
}

// columnTitle returns a camelCase name in upper case with spaces between the words.
func columnTitle(name string) string {
	var b strings.Builder
	for _, r := range name {
		if r >= 'A' && r <= 'Z' {
			b.WriteByte(' ')
		}
		b.WriteRune(r)
	}
	return strings.ToUpper(b.String())
}

func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	case uint64, bool:
		return fmt.Sprint(v)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

func (inv *invocation) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(inv.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return eris.Wrap(err, "print a table")
		}
	}
	return eris.Wrap(w.Flush(), "print a table")
}
