package spec

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"regexp"
	"strings"
	"time"
)

const (
	maxPartitions      = 1 << 16
	maxNameLength      = 120
	hashBytes          = 32
	defaultTimeout     = 10 * time.Second
	defaultBodySize    = 1 << 20
	defaultAnswerSize  = 8 << 20
	defaultKeyHeader   = "Resource-Key"
	defaultColdRate    = 5
	defaultColdRamp    = 10 * time.Second
	defaultRetryBudget = 0.1
	defaultHedgeBudget = 0.05
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*(/[A-Za-z0-9][A-Za-z0-9_.-]*)?$`)

// Duration is a duration written as text, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses the duration.
func (duration *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.New("duration %q: %w", text, err)
	}
	*duration = Duration(value)
	return nil
}

// header is what the records of all kinds share.
type header struct {
	Name    string `json:"name"`
	Schema  int    `json:"schema"`
	Version uint64 `json:"version"`
}

type serviceOld struct {
	header
	Partitions     int      `json:"partitions"`
	KeyHeader      string   `json:"keyHeader"`
	TimeoutSeconds float64  `json:"timeoutSeconds"`
	MaxBodyBytes   int      `json:"maxBodyBytes"`
	MaxAnswerBytes int      `json:"maxAnswerBytes"`
	Policies       []string `json:"policies"`
}

type serviceNew struct {
	header
	Partitions     int           `json:"partitions"`
	KeyHeader      string        `json:"keyHeader"`
	Timeout        Duration      `json:"timeout"`
	MaxBodyBytes   int           `json:"maxBodyBytes"`
	MaxAnswerBytes int           `json:"maxAnswerBytes"`
	Policies       []PolicyShare `json:"policies"`
	ColdStart      struct {
		Rate float64  `json:"rate"`
		Ramp Duration `json:"ramp"`
	} `json:"coldStart"`
	RetryBudget *float64 `json:"retryBudget"`
}

type workspaceOld struct{ header }

type workspaceNew struct {
	header
	Weight float64 `json:"weight"`
}

type callerKeyAny struct {
	header
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`
}

type rateOld struct {
	header
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

type rateNew struct {
	header
	Workspace string   `json:"workspace"`
	Requests  float64  `json:"requests"`
	Per       Duration `json:"per"`
	Burst     float64  `json:"burst"`
}

type policyOld struct {
	header
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
}

type policyNew struct {
	policyOld
	HedgeBudget *float64 `json:"hedgeBudget"`
}

type dataCentreOld struct {
	header
	InService bool `json:"inService"`
}

type dataCentreNew struct {
	dataCentreOld
	Region string `json:"region"`
}

type upstreamOld struct {
	header
	InService bool `json:"inService"`
}

type upstreamNew struct {
	upstreamOld
	Note string `json:"note"`
}

// Parse checks the record and returns its specification.
func (record Record) Parse() (Spec, error) {
	if err := record.checkHeader(); err != nil {
		return nil, err
	}
	parsed, err := record.parseBody()
	if err != nil {
		return nil, Error.New("%s version %d: %w", record.ID(), record.Version, err)
	}
	return parsed, nil
}

func (record Record) checkHeader() error {
	if !record.Kind.Valid() {
		return Error.New("kind %q does not exist", record.Kind)
	}
	if len(record.Name) > maxNameLength || !namePattern.MatchString(record.Name) {
		return Error.New("%s: the name may hold letters, digits, '.', '_', '-' and one '/'", record.ID())
	}
	if record.Version == 0 {
		return Error.New("%s: version is missing or 0", record.ID())
	}
	if record.Schema != OldSchema && record.Schema != NewSchema {
		return Error.New("%s: schema %d is neither %d nor %d", record.ID(), record.Schema, OldSchema, NewSchema)
	}
	return nil
}

func (record Record) parseBody() (Spec, error) {
	old := record.Schema == OldSchema
	switch record.Kind {
	case KindService:
		return parseService(record.Body, old)
	case KindWorkspace:
		return parseWorkspace(record.Body, old)
	case KindCallerKey:
		return parseCallerKey(record.Body)
	case KindRate:
		return parseRate(record.Body, old)
	case KindPolicy:
		return parsePolicy(record.Body, old)
	case KindDataCentre:
		return parseDataCentre(record.Body, old)
	default:
		return parseUpstream(record.Body, old)
	}
}

// decode parses JSON strictly: an unknown field is an error.
func decode[T any](body []byte) (T, error) {
	var target T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&target); err != nil {
		return target, Error.New("%w", err)
	}
	return target, nil
}

func parseService(body []byte, old bool) (Spec, error) {
	var fields serviceNew
	if old {
		written, err := decode[serviceOld](body)
		if err != nil {
			return nil, err
		}
		fields = written.upgrade()
	} else {
		written, err := decode[serviceNew](body)
		if err != nil {
			return nil, err
		}
		fields = written
	}
	service := Service{
		Name:          fields.Name,
		Partitions:    fields.Partitions,
		KeyHeader:     orDefault(fields.KeyHeader, defaultKeyHeader),
		Timeout:       orDefault(time.Duration(fields.Timeout), defaultTimeout),
		MaxBodySize:   orDefault(fields.MaxBodyBytes, defaultBodySize),
		MaxAnswerSize: orDefault(fields.MaxAnswerBytes, defaultAnswerSize),
		Policies:      fields.Policies,
		ColdRate:      orDefault(fields.ColdStart.Rate, defaultColdRate),
		ColdRamp:      orDefault(time.Duration(fields.ColdStart.Ramp), defaultColdRamp),
		RetryBudget:   defaultRetryBudget,
	}
	if fields.RetryBudget != nil {
		service.RetryBudget = *fields.RetryBudget
	}
	return service, service.check()
}

// upgrade gives the fields of the old schema their place in the new one.
func (serviceold serviceOld) upgrade() serviceNew {
	fields := serviceNew{
		header:         serviceold.header,
		Partitions:     serviceold.Partitions,
		KeyHeader:      serviceold.KeyHeader,
		Timeout:        Duration(serviceold.TimeoutSeconds * float64(time.Second)),
		MaxBodyBytes:   serviceold.MaxBodyBytes,
		MaxAnswerBytes: serviceold.MaxAnswerBytes,
	}
	for _, name := range serviceold.Policies {
		share := PolicyShare{Name: name, Share: 1 / float64(len(serviceold.Policies))}
		fields.Policies = append(fields.Policies, share)
	}
	return fields
}

func (service Service) check() error {
	switch {
	case strings.Contains(service.Name, "/"):
		return Error.New("a service's name has no '/'")
	case service.Partitions < 0 || service.Partitions > maxPartitions:
		return Error.New("partitions is %d, not between 0 and %d", service.Partitions, maxPartitions)
	case service.Timeout < 0 || service.Timeout > time.Hour:
		return Error.New("timeout is %s, not between 0 and 1h", service.Timeout)
	case service.MaxBodySize < 0 || service.MaxAnswerSize < 0:
		return Error.New("a size limit is negative")
	case service.RetryBudget < 0 || service.RetryBudget > 1:
		return Error.New("retryBudget is %g, not between 0 and 1", service.RetryBudget)
	case service.ColdRate < 0 || service.ColdRamp < 0:
		return Error.New("coldStart is negative")
	}
	total := 0.0
	for _, share := range service.Policies {
		if share.Share < 0 {
			return Error.New("policy %s has a negative share", share.Name)
		}
		total += share.Share
	}
	if len(service.Policies) > 0 && total <= 0 {
		return Error.New("the policies' shares add up to 0")
	}
	return nil
}

func parseWorkspace(body []byte, old bool) (Spec, error) {
	if old {
		written, err := decode[workspaceOld](body)
		return Workspace{Name: written.Name, Weight: 1}, err
	}
	written, err := decode[workspaceNew](body)
	if err != nil {
		return nil, err
	}
	if written.Weight < 0 {
		return nil, Error.New("weight is %g, less than 0", written.Weight)
	}
	return Workspace{Name: written.Name, Weight: orDefault(written.Weight, 1)}, nil
}

func parseCallerKey(body []byte) (Spec, error) {
	written, err := decode[callerKeyAny](body)
	if err != nil {
		return nil, err
	}
	hash, err := hex.DecodeString(written.Hash)
	if err != nil || len(hash) != hashBytes {
		return nil, Error.New("hash is not a SHA-256 in hexadecimal")
	}
	if written.Workspace == "" {
		return nil, Error.New("workspace is missing")
	}
	return CallerKey{Name: written.Name, Workspace: written.Workspace, Hash: strings.ToLower(written.Hash)}, nil
}

func parseRate(body []byte, old bool) (Spec, error) {
	var rate Rate
	if old {
		written, err := decode[rateOld](body)
		if err != nil {
			return nil, err
		}
		rate = Rate{Name: written.Name, Workspace: written.Workspace, PerSecond: written.PerSecond, Burst: written.Burst}
	} else {
		written, err := decode[rateNew](body)
		if err != nil {
			return nil, err
		}
		per := orDefault(time.Duration(written.Per), time.Second)
		rate = Rate{Name: written.Name, Workspace: written.Workspace, PerSecond: written.Requests / per.Seconds(), Burst: written.Burst}
	}
	if rate.Workspace == "" {
		return nil, Error.New("workspace is missing")
	}
	if rate.PerSecond <= 0 || rate.Burst < 1 {
		return nil, Error.New("the rate must be over 0 and the burst at least 1")
	}
	return rate, nil
}

func parsePolicy(body []byte, old bool) (Spec, error) {
	var written policyNew
	if old {
		fields, err := decode[policyOld](body)
		if err != nil {
			return nil, err
		}
		written.policyOld = fields
	} else {
		fields, err := decode[policyNew](body)
		if err != nil {
			return nil, err
		}
		written = fields
	}
	if !validRouting(written.Routing) {
		return nil, Error.New("routing %q does not exist", written.Routing)
	}
	if !validAdmission(written.Admission) {
		return nil, Error.New("admission %q does not exist", written.Admission)
	}
	policy := Policy{
		Name: written.Name, Routing: written.Routing, Admission: written.Admission, HedgeBudget: defaultHedgeBudget,
	}
	if written.HedgeBudget != nil {
		policy.HedgeBudget = *written.HedgeBudget
	}
	if policy.HedgeBudget < 0 || policy.HedgeBudget > 1 {
		return nil, Error.New("hedgeBudget is %g, not between 0 and 1", policy.HedgeBudget)
	}
	return policy, nil
}

func parseDataCentre(body []byte, old bool) (Spec, error) {
	if old {
		written, err := decode[dataCentreOld](body)
		return DataCentre{Name: written.Name, InService: written.InService}, err
	}
	written, err := decode[dataCentreNew](body)
	return DataCentre{Name: written.Name, Region: written.Region, InService: written.InService}, err
}

func parseUpstream(body []byte, old bool) (Spec, error) {
	var written upstreamNew
	var err error
	if old {
		written.upstreamOld, err = decode[upstreamOld](body)
	} else {
		written, err = decode[upstreamNew](body)
	}
	if err != nil {
		return nil, err
	}
	if !strings.Contains(written.Name, "/") {
		return nil, Error.New("an upstream's name is service/name")
	}
	return Upstream{Name: written.Name, InService: written.InService}, nil
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
