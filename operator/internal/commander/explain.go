package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"godwitramp.example/core/explainer"
)

const (
	// explainTimeout is the timeout of the call to the VM.
	explainTimeout = 2 * time.Second
	// maxExplanationBytes limits the answer: a service may have some thousand targets.
	maxExplanationBytes = 8 << 20
)

// errKeyOnCommandLine leaves out the key, as logs and terminals may keep the message.
var errKeyOnCommandLine = &usageError{
	Message: "a key on the command line is visible to other users of the machine; name the organisation with --organisation",
}

// explainCommand asks a VM of the program gateway where a request would go.
type explainCommand struct {
	commander    *Commander
	VM           string  `long:"vm" description:"address of the VM for operators, as in its setting [listen] operators" value-name:"ADDRESS"`
	Host         string  `long:"host" description:"host of the request"`
	Path         string  `long:"path" description:"path of the request, without query"`
	Method       string  `long:"method" default:"GET" description:"method of the request"`
	Organisation string  `long:"organisation" description:"name of the organisation that sends it; none if empty"`
	JSON         bool    `long:"json" description:"the same as --output json"`
	Key          *string `long:"key" hidden:"true"`
}

// Execute prints the explanation of the VM. A request that the VM would reject is explained too; one that no route
// or organisation of its configuration fits is an error.
func (command *explainCommand) Execute(arguments []string) error {
	switch {
	case command.Key != nil, explainer.LooksLikeKey(command.Organisation):
		return errKeyOnCommandLine
	case len(arguments) > 0:
		return &usageError{Message: "explain takes no arguments, only flags"} // they may contain a key
	}
	if _, err := netip.ParseAddrPort(command.VM); err != nil {
		return &usageError{Message: fmt.Sprintf("--vm is %q; allowed: an IP address and a port, such as 10.1.0.24:7101", command.VM)}
	}
	query := explainer.Query{Host: command.Host, Path: command.Path, Method: strings.ToUpper(command.Method), Organisation: command.Organisation}
	if err := query.Check(); err != nil {
		return &usageError{Message: err.Error()}
	}
	explanation, err := requestExplanation(command.commander.ctx, command.VM, query)
	if err != nil {
		return err
	}
	if rejection := explanation.Rejection; rejection != nil {
		switch rejection.Reason {
		case "route-unknown":
			return fmt.Errorf("configuration %d of VM %s has no route for %s%s", explanation.Configuration, explanation.VM, query.Host, query.Path)
		case explainer.OrganisationIsKey:
			return errKeyOnCommandLine
		case explainer.OrganisationUnknown:
			if !explainer.LooksLikeName(query.Organisation) {
				return errKeyOnCommandLine
			}
			return fmt.Errorf("configuration %d of VM %s has no organisation %q", explanation.Configuration, explanation.VM, query.Organisation)
		}
	}
	if command.JSON {
		command.commander.options.Output = outputJSON
	}
	return command.commander.print(explanation, explanation.Text())
}

// requestExplanation asks the VM at its address for operators.
func requestExplanation(ctx context.Context, address string, query explainer.Query) (*explainer.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	parameters := url.Values{"host": {query.Host}, "path": {query.Path}, "method": {query.Method}}
	if query.Organisation != "" {
		parameters.Set("organisation", query.Organisation)
	}
	target := url.URL{Scheme: "http", Host: address, Path: explainer.Path, RawQuery: parameters.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("ask VM at %s: %w", address, err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}} // without the proxy of the environment
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("VM at %s can't be reached: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxExplanationBytes))
	if err != nil {
		return nil, fmt.Errorf("read answer of VM at %s: %w", address, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, fmt.Errorf("%s is no address for operators of a VM that explains: status 404", address)
	default:
		return nil, fmt.Errorf("VM at %s refuses to explain: status %d: %s", address, response.StatusCode, strings.TrimSpace(string(body)))
	}
	var explanation explainer.Explanation
	if err := json.Unmarshal(body, &explanation); err != nil {
		return nil, fmt.Errorf("answer of VM at %s is no explanation: %w", address, err)
	}
	return &explanation, nil
}
