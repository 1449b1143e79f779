package verbs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"damaskcrank.example/damaskcrank/internal/base/conf"
	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

const (
	remoteTimeout = 40 * time.Second
	// tokenName is the file in which the embedded default keeps its token.
	tokenName = "operatorToken"
)

// Remote is the host that a command talks to.
type Remote struct {
	Host  netip.AddrPort `default:"127.0.0.1:7401" env:"DAMASKCRANK_HOST" help:"The operator address of any host."`
	Token string         `env:"DAMASKCRANK_TOKEN" help:"The operator's token. Without it, that of the embedded default in its data folder is used."`
}

// token returns the operator's token.
func (remote Remote) token() string {
	if remote.Token != "" {
		return remote.Token
	}
	data, err := os.ReadFile(filepath.Join(conf.Default().Host.DataFolder, tokenName))
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(data))
}

// call makes a request to the host and decodes its answer.
func (remote Remote) call(method, path, contentType string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	url := "http://" + remote.Host.String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Error.New("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+remote.token())
	request.Header.Set("Content-Type", contentType)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Error.New("ask host %s: %w", remote.Host, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return Error.New("read answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return Error.New("read answer: %w", err)
	}
	return nil
}

// refusal makes an error of a host's refusal.
func refusal(status int, data []byte) error {
	var reply admin.ErrorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error == "" {
		reply.Error = strings.TrimSpace(string(data))
	}
	code := ExitFailed
	if status == http.StatusConflict {
		code = ExitConflict
	}
	return &exitError{code: code, err: errors.New(reply.Error)}
}

const typeJSON = "application/json"

func (remote Remote) get(path string, answer any) error {
	return remote.call(http.MethodGet, path, typeJSON, nil, answer)
}

// change makes a request that changes records and reports how far it got.
func (remote Remote) change(streams *Streams, output Output, method, path, contentType string, body []byte) error {
	var reply admin.ApplyReply
	if err := remote.call(method, path, contentType, body, &reply); err != nil {
		return err
	}
	if err := printApply(streams, output, reply); err != nil {
		return err
	}
	if len(reply.Lagging) > 0 {
		return &exitError{code: ExitPartial, err: Error.New("not in force yet on %s", strings.Join(reply.Lagging, ", "))}
	}
	return nil
}
