package command

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// setDesiredState returns a function that sets the desired state of an upstream.
func setDesiredState(state string) func(*invocation, context.Context) error {
	return func(inv *invocation, ctx context.Context) error {
		path := "/v1/upstreams/" + url.PathEscape(inv.args[0]) + "/desired"
		if err := inv.client.Write(ctx, http.MethodPost, path, map[string]string{"desired": state}, nil); err != nil {
			return err
		}
		return inv.printf("upstream %s: desired state %s\n", inv.args[0], state)
	}
}

// printList reads path and prints the list in a field of the response as a table.
func (inv *invocation) printList(ctx context.Context, path, field string, columns []string) error {
	if inv.json {
		return inv.printResponse(ctx, path)
	}
	var response any
	if err := inv.client.Read(ctx, path, &response); err != nil {
		return err
	}
	return inv.printTable(tableRows(fieldOf(response, field), columns))
}

func (inv *invocation) upstreamList(ctx context.Context) error {
	return inv.printList(ctx, "/v1/upstreams", "upstreams",
		[]string{"id", "kind", "role", "pool", "failureDomain", "address", "state", "desired", "slots", "models"})
}

func (inv *invocation) upstreamRemove(ctx context.Context) error {
	if err := inv.client.Write(ctx, http.MethodDelete, "/v1/upstreams/"+url.PathEscape(inv.args[0]), nil, nil); err != nil {
		return err
	}
	return inv.printf("upstream %s removed\n", inv.args[0])
}

var evacuationColumns = []string{"failureDomain", "operator", "since", "upstreams", "running"}

// evacuate orders or withdraws an evacuation, or lists those in force if no failure domain is named.
func (inv *invocation) evacuate(ctx context.Context) error {
	if len(inv.args) == 0 {
		if inv.withdraw {
			return usagef("want: azuredoorctl evacuate -withdraw domain")
		}
		return inv.printList(ctx, "/v1/evacuations", "evacuations", evacuationColumns)
	}
	method, text := http.MethodPost, "evacuated"
	if inv.withdraw {
		method, text = http.MethodDelete, "evacuation withdrawn"
	}
	if err := inv.client.Write(ctx, method, "/v1/evacuations/"+url.PathEscape(inv.args[0]), nil, nil); err != nil {
		return err
	}
	return inv.printf("failure domain %s: %s\n", inv.args[0], text)
}

func (inv *invocation) memberList(ctx context.Context) error {
	return inv.printList(ctx, "/v1/members", "members",
		[]string{"id", "name", "address", "adminAddress", "failureDomain", "learner", "leader", "reachable"})
}

type memberSpec struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	AdminAddress  string `json:"adminAddress"`
	FailureDomain string `json:"failureDomain"`
}

func (inv *invocation) newMember() (memberSpec, error) {
	for _, setting := range []struct{ name, value string }{
		{"name", inv.name}, {"address", inv.address}, {"admin-address", inv.adminAddress}, {"failure-domain", inv.failureDomain},
	} {
		if setting.value == "" {
			return memberSpec{}, usagef("setting -%s of the new member is missing", setting.name)
		}
	}
	return memberSpec{Name: inv.name, Address: inv.address, AdminAddress: inv.adminAddress, FailureDomain: inv.failureDomain}, nil
}

func (inv *invocation) memberAdd(ctx context.Context) error {
	m, err := inv.newMember()
	if err != nil {
		return err
	}
	return inv.writeMember(ctx, http.MethodPost, "/v1/members", m, "added "+m.Name)
}

func (inv *invocation) memberRemove(ctx context.Context) error {
	return inv.writeMember(ctx, http.MethodDelete, "/v1/members/"+url.PathEscape(inv.args[0]), nil, "removed "+inv.args[0])
}

func (inv *invocation) memberReplace(ctx context.Context) error {
	m, err := inv.newMember()
	if err != nil {
		return err
	}
	return inv.writeMember(ctx, http.MethodPost, "/v1/members/"+url.PathEscape(inv.args[0])+"/replace", m, "replaced "+inv.args[0]+" by "+m.Name)
}

func (inv *invocation) writeMember(ctx context.Context, method, path string, body any, message string) error {
	var response any
	if err := inv.client.Write(ctx, method, path, body, &response); err != nil {
		return err
	}
	if id := formatValue(fieldOf(response, "id")); id != "" {
		message += ", ID " + id
	}
	return inv.printf("%s\n", message)
}

func (inv *invocation) history(ctx context.Context) error {
	path := "/v1/history?after=" + strconv.Itoa(inv.after) + "&limit=" + strconv.Itoa(inv.limit)
	if inv.json {
		return inv.printResponse(ctx, path)
	}
	var response any
	if err := inv.client.Read(ctx, path, &response); err != nil {
		return err
	}
	records := fieldOf(response, "records")
	list, _ := records.([]any)
	for _, item := range list {
		if record, ok := item.(map[string]any); ok {
			record["changes"] = summarizeChanges(record["changes"])
		}
	}
	return inv.printTable(tableRows(records, []string{"revision", "time", "operator", "requestId", "summary", "changes"}))
}

const maxSummaryChanges = 5

// summarizeChanges names at most maxSummaryChanges of the changed objects.
func summarizeChanges(changes any) string {
	list, _ := changes.([]any)
	var names []string
	for i, item := range list {
		if i == maxSummaryChanges {
			names = append(names, "and "+strconv.Itoa(len(list)-i)+" more")
			break
		}
		change, _ := item.(map[string]any)
		verb := "put "
		if change["delete"] == true {
			verb = "delete "
		}
		names = append(names, verb+formatValue(change["kind"])+"/"+formatValue(change["name"]))
	}
	return strings.Join(names, ", ")
}

func (inv *invocation) status(ctx context.Context) error {
	if inv.json {
		return inv.printResponse(ctx, "/v1/status")
	}
	var response map[string]any
	if err := inv.client.Read(ctx, "/v1/status", &response); err != nil {
		return err
	}
	if response["confirmed"] == false {
		if err := inv.printf("no leader answered: this is what member %s knows\n", formatValue(response["member"])); err != nil {
			return err
		}
	}
	if err := inv.printf("revision %s\nsessions %s\nclaims %s\n\nMembers\n", formatValue(response["revision"]), formatCount(response["sessions"]), formatCount(response["claims"])); err != nil {
		return err
	}
	if err := inv.printTable(tableRows(response["members"], []string{"id", "name", "failureDomain", "leader", "learner", "reachable", "term", "applied", "lag"})); err != nil {
		return err
	}
	if err := inv.printf("\nUpstreams\n"); err != nil {
		return err
	}
	if err := inv.printTable(tableRows(response["upstreams"], []string{"pool", "failureDomain", "state", "count"})); err != nil {
		return err
	}
	if evacuations, _ := response["evacuations"].([]any); len(evacuations) > 0 {
		if err := inv.printf("\nEvacuations\n"); err != nil {
			return err
		}
		if err := inv.printTable(tableRows(evacuations, evacuationColumns)); err != nil {
			return err
		}
	}
	return inv.printEntries(ctx, response["confirmed"] != false)
}

// printEntries prints the entries and the configuration revision in force on each, or a note if no leader confirmed the
// status, because only the leader knows the revisions.
func (inv *invocation) printEntries(ctx context.Context, confirmed bool) error {
	if !confirmed {
		return inv.printf("\nEntries are unknown without a leader\n")
	}
	var response map[string]any
	if err := inv.client.Read(ctx, "/v1/sessions", &response); err != nil {
		return err
	}
	if err := inv.printf("\nEntries\n"); err != nil {
		return err
	}
	return inv.printTable(tableRows(response["sessions"], []string{"id", "name", "failureDomain", "region", "configRevision"}))
}

// formatCount formats a number, or the length of a list.
func formatCount(value any) string {
	if list, ok := value.([]any); ok {
		return strconv.Itoa(len(list))
	}
	return formatValue(value)
}
