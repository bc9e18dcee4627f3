package command

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"os"

	"github.com/rotisserie/eris"

	"azuredoor.example/core/config"
	"azuredoor.example/ctl/client"
)

// change is one change in the body of POST /v1/apply.
type change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// ExpectVersion is the present version of the object; nil allows any version, and 0 requires that the object does
	// not exist.
	ExpectVersion *uint64         `json:"expectVersion,omitempty"`
	Delete        bool            `json:"delete,omitempty"`
	Spec          json.RawMessage `json:"spec,omitempty"`
}

type applyResult struct {
	Revision uint64 `json:"revision"`
	Changes  []struct {
		Kind    string `json:"kind"`
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	} `json:"changes"`
}

type document struct {
	Objects []struct {
		Kind    string          `json:"kind"`
		Name    string          `json:"name"`
		Version *uint64         `json:"version"`
		Spec    json.RawMessage `json:"spec"`
	} `json:"objects"`
}

func (inv *invocation) bootstrap(ctx context.Context) error {
	if err := inv.client.Write(ctx, http.MethodPost, "/v1/bootstrap", nil, nil); err != nil {
		return err
	}
	return inv.printf("the control group runs\n")
}

func (inv *invocation) get(ctx context.Context) error {
	if len(inv.args) == 2 {
		var object client.Object
		if err := inv.client.Read(ctx, "/v1/objects/"+url.PathEscape(inv.args[0])+"/"+url.PathEscape(inv.args[1]), &object); err != nil {
			return err
		}
		return inv.printJSON(object)
	}
	path := "/v1/objects"
	if len(inv.args) == 1 {
		path += "?kind=" + url.QueryEscape(inv.args[0])
	}
	if inv.json {
		return inv.printResponse(ctx, path)
	}
	var list struct {
		Revision uint64
		Objects  []client.Object
	}
	if err := inv.client.Read(ctx, path, &list); err != nil {
		return err
	}
	rows := [][]string{{"KIND", "NAME", "VERSION", "SPEC"}}
	for _, object := range list.Objects {
		var spec bytes.Buffer
		if err := json.Compact(&spec, object.Spec); err != nil {
			return eris.Wrapf(err, "decode the spec of %s %s", object.Kind, object.Name)
		}
		rows = append(rows, []string{object.Kind, object.Name, formatValue(object.Version), spec.String()})
	}
	if err := inv.printTable(rows); err != nil {
		return err
	}
	return inv.printf("revision %d\n", list.Revision)
}

// printResponse reads path and prints the whole response as JSON.
func (inv *invocation) printResponse(ctx context.Context, path string) error {
	var response json.RawMessage
	if err := inv.client.Read(ctx, path, &response); err != nil {
		return err
	}
	return inv.printJSON(response)
}

func (inv *invocation) apply(ctx context.Context) error {
	if inv.file == "" {
		return usagef("setting -file is missing: want a document {\"objects\":[...]}")
	}
	data, err := os.ReadFile(inv.file)
	if err != nil {
		return usagef("setting -file=%q: want a readable file: %v", inv.file, err)
	}
	changes, err := decodeDocument(data)
	if err != nil {
		return eris.Wrapf(err, "%s", inv.file)
	}
	result, err := inv.applyChanges(ctx, changes)
	if err != nil {
		return err
	}
	for _, changed := range result.Changes {
		if err := inv.printf("%s %s version %d\n", changed.Kind, changed.Name, changed.Version); err != nil {
			return err
		}
	}
	return inv.printf("revision %d\n", result.Revision)
}

// decodeDocument decodes a document and validates each object, so that mistakes are found without a call to a member.
func decodeDocument(data []byte) ([]change, error) {
	var doc document
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&doc); err != nil {
		return nil, eris.Wrap(err, "want a document {\"objects\":[{\"kind\",\"name\",\"version\",\"spec\"}]}")
	}
	if len(doc.Objects) == 0 {
		return nil, errors.New("the document has no objects")
	}
	changes := make([]change, 0, len(doc.Objects))
	for _, object := range doc.Objects {
		if _, err := config.Decode(object.Kind, object.Name, object.Spec); err != nil {
			return nil, err
		}
		changes = append(changes, change{Kind: object.Kind, Name: object.Name, ExpectVersion: object.Version, Spec: object.Spec})
	}
	return changes, nil
}

func (inv *invocation) applyChanges(ctx context.Context, changes []change) (applyResult, error) {
	var result applyResult
	err := inv.client.Write(ctx, http.MethodPost, "/v1/apply", map[string]any{"changes": changes}, &result)
	return result, err
}

func (inv *invocation) delete(ctx context.Context) error {
	return inv.deleteObject(ctx, inv.args[0], inv.args[1])
}

func (inv *invocation) deleteObject(ctx context.Context, kind, name string) error {
	result, err := inv.applyChanges(ctx, []change{{Kind: kind, Name: name, Delete: true}})
	if err != nil {
		return err
	}
	return inv.printf("%s %s deleted, revision %d\n", kind, name, result.Revision)
}

const (
	keyPrefix    = "ad-"
	keyBytes     = 32
	keyNameBytes = 4
)

func (inv *invocation) keyCreate(ctx context.Context) error {
	if inv.customer == "" {
		return usagef("setting -customer is missing: want the customer of the key")
	}
	var secret [keyBytes]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return eris.Wrap(err, "generate a key")
	}
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(secret[:])
	hash := sha256.Sum256([]byte(key))
	name := inv.name
	if name == "" {
		name = inv.customer + "-" + hex.EncodeToString(hash[:keyNameBytes])
	}
	spec, err := json.Marshal(config.Key{Customer: inv.customer, SHA256: hex.EncodeToString(hash[:])})
	if err != nil {
		return eris.Wrap(err, "encode the key")
	}
	mustNotExist := uint64(0)
	if _, err := inv.applyChanges(ctx, []change{{Kind: config.KindKey, Name: name, ExpectVersion: &mustNotExist, Spec: spec}}); err != nil {
		return eris.Wrapf(err, "key %s", name)
	}
	if inv.json {
		return inv.printJSON(map[string]string{"name": name, "customer": inv.customer, "key": key})
	}
	return inv.printf("key %s of customer %s, shown only now:\n%s\n", name, inv.customer, key)
}

func (inv *invocation) keyWithdraw(ctx context.Context) error {
	return inv.deleteObject(ctx, config.KindKey, inv.args[0])
}
