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
	// maxReplyBytes bounds the answer of a host. A history of 1000 changes of 10 KB fits.
	maxReplyBytes = 64 << 20
	// tokenName is the file that holds the operator's token of the embedded default.
	tokenName = "operatorToken"
)

// Remote holds the flags of commands that use a host's operator API.
type Remote struct {
	Host  netip.AddrPort `default:"127.0.0.1:7401" env:"DAMASKCRANK_HOST" help:"The operator address of any host."`
	Token string         `env:"DAMASKCRANK_TOKEN" help:"The operator's token. Without it, that of the embedded default in its data folder is used."`
}

// token returns the token from the flags or, without it, that of the embedded
// default. It returns "" if there is none; the host then refuses the request.
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

// call sends a request to the host and decodes the JSON response into answer.
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
		return Error.New("send request to host %s: %w", remote.Host, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return Error.New("read response: %w", err)
	case len(data) > maxReplyBytes:
		return Error.New("the response of host %s is longer than %d bytes", remote.Host, maxReplyBytes)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return Error.New("decode response: %w", err)
	}
	return nil
}

// responseError returns the error that a failed response describes, with the exit
// code for its status. The body is the message if it is not an ErrorReply.
func responseError(status int, data []byte) error {
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

// change sends a request that changes records and prints the outcome. It returns
// an error with ExitPartial if some live hosts have not applied the change yet.
func (remote Remote) change(streams *Streams, output Output, method, path, contentType string, body []byte) error {
	var reply admin.ApplyReply
	if err := remote.call(method, path, contentType, body, &reply); err != nil {
		return err
	}
	if err := printApply(streams, output, reply); err != nil {
		return err
	}
	if len(reply.Lagging) > 0 {
		return &exitError{code: ExitPartial, err: Error.New("not yet applied on %s", strings.Join(reply.Lagging, ", "))}
	}
	return nil
}
