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
	maxPartitions = 1 << 16
	maxNameBytes  = 120
	// hashBytes is the size of a SHA-256.
	hashBytes             = 32
	defaultTimeout        = 10 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultMaxAnswerBytes = 8 << 20
	defaultKeyHeader      = "Resource-Key"
	// defaultColdRate is in requests per second.
	defaultColdRate = 5
	defaultColdRamp = 10 * time.Second
	// defaultRetryBudget and defaultHedgeBudget are fractions of the requests.
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

// commonFields are the fields that records of all kinds have.
type commonFields struct {
	Name    string `json:"name"`
	Schema  int    `json:"schema"`
	Version uint64 `json:"version"`
}

type serviceV1 struct {
	commonFields
	Partitions     int      `json:"partitions"`
	KeyHeader      string   `json:"keyHeader"`
	TimeoutSeconds float64  `json:"timeoutSeconds"`
	MaxBodyBytes   int      `json:"maxBodyBytes"`
	MaxAnswerBytes int      `json:"maxAnswerBytes"`
	Policies       []string `json:"policies"`
}

type serviceV2 struct {
	commonFields
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

type workspaceV1 struct{ commonFields }

type workspaceV2 struct {
	commonFields
	Weight float64 `json:"weight"`
}

type callerKeyFields struct {
	commonFields
	Workspace string `json:"workspace"`
	Hash      string `json:"hash"`
}

type rateV1 struct {
	commonFields
	Workspace string  `json:"workspace"`
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
}

type rateV2 struct {
	commonFields
	Workspace string   `json:"workspace"`
	Requests  float64  `json:"requests"`
	Per       Duration `json:"per"`
	Burst     float64  `json:"burst"`
}

type policyV1 struct {
	commonFields
	Routing   string `json:"routing"`
	Admission string `json:"admission"`
}

type policyV2 struct {
	policyV1
	HedgeBudget *float64 `json:"hedgeBudget"`
}

type dataCentreV1 struct {
	commonFields
	InService bool `json:"inService"`
}

type dataCentreV2 struct {
	dataCentreV1
	Region string `json:"region"`
}

type upstreamV1 struct {
	commonFields
	InService bool `json:"inService"`
}

type upstreamV2 struct {
	upstreamV1
	Note string `json:"note"`
}

// Parse validates the record and returns its typed specification.
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
	if len(record.Name) > maxNameBytes || !namePattern.MatchString(record.Name) {
		return Error.New("%s: the name may contain only letters, digits, '.', '_', '-' and one '/'", record.ID())
	}
	if record.Version == 0 {
		return Error.New("%s: version is missing or 0", record.ID())
	}
	if record.Schema != SchemaV1 && record.Schema != SchemaV2 {
		return Error.New("%s: schema %d is neither %d nor %d", record.ID(), record.Schema, SchemaV1, SchemaV2)
	}
	return nil
}

func (record Record) parseBody() (Spec, error) {
	v1 := record.Schema == SchemaV1
	switch record.Kind {
	case KindService:
		return parseService(record.Body, v1)
	case KindWorkspace:
		return parseWorkspace(record.Body, v1)
	case KindCallerKey:
		return parseCallerKey(record.Body)
	case KindRate:
		return parseRate(record.Body, v1)
	case KindPolicy:
		return parsePolicy(record.Body, v1)
	case KindDataCentre:
		return parseDataCentre(record.Body, v1)
	default:
		return parseUpstream(record.Body, v1)
	}
}

// decode parses JSON and returns an error for unknown fields.
func decode[T any](body []byte) (T, error) {
	var target T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&target); err != nil {
		return target, Error.New("%w", err)
	}
	return target, nil
}

func parseService(body []byte, v1 bool) (Spec, error) {
	var fields serviceV2
	if v1 {
		decoded, err := decode[serviceV1](body)
		if err != nil {
			return nil, err
		}
		fields = decoded.upgrade()
	} else {
		decoded, err := decode[serviceV2](body)
		if err != nil {
			return nil, err
		}
		fields = decoded
	}
	service := Service{
		Name:          fields.Name,
		Partitions:    fields.Partitions,
		KeyHeader:     orDefault(fields.KeyHeader, defaultKeyHeader),
		Timeout:       orDefault(time.Duration(fields.Timeout), defaultTimeout),
		MaxBodySize:   orDefault(fields.MaxBodyBytes, defaultMaxBodyBytes),
		MaxAnswerSize: orDefault(fields.MaxAnswerBytes, defaultMaxAnswerBytes),
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

// upgrade converts the fields from the old schema to the new one. The policies get
// equal shares.
func (servicev1 serviceV1) upgrade() serviceV2 {
	fields := serviceV2{
		commonFields:   servicev1.commonFields,
		Partitions:     servicev1.Partitions,
		KeyHeader:      servicev1.KeyHeader,
		Timeout:        Duration(servicev1.TimeoutSeconds * float64(time.Second)),
		MaxBodyBytes:   servicev1.MaxBodyBytes,
		MaxAnswerBytes: servicev1.MaxAnswerBytes,
	}
	for _, name := range servicev1.Policies {
		share := PolicyShare{Name: name, Share: 1 / float64(len(servicev1.Policies))}
		fields.Policies = append(fields.Policies, share)
	}
	return fields
}

func (service Service) check() error {
	switch {
	case strings.Contains(service.Name, "/"):
		return Error.New("a service's name must not contain '/'")
	case service.Partitions < 0 || service.Partitions > maxPartitions:
		return Error.New("partitions is %d, not between 0 and %d", service.Partitions, maxPartitions)
	case service.Timeout < 0 || service.Timeout > time.Hour:
		return Error.New("timeout is %s, not between 0 and 1h", service.Timeout)
	case service.MaxBodySize < 0 || service.MaxAnswerSize < 0:
		return Error.New("a size limit is negative")
	case service.RetryBudget < 0 || service.RetryBudget > 1:
		return Error.New("retryBudget is %g, not between 0 and 1", service.RetryBudget)
	case service.ColdRate < 0 || service.ColdRamp < 0:
		return Error.New("coldStart has a negative value")
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

func parseWorkspace(body []byte, v1 bool) (Spec, error) {
	if v1 {
		decoded, err := decode[workspaceV1](body)
		return Workspace{Name: decoded.Name, Weight: 1}, err
	}
	decoded, err := decode[workspaceV2](body)
	if err != nil {
		return nil, err
	}
	if decoded.Weight < 0 {
		return nil, Error.New("weight is %g, which is less than 0", decoded.Weight)
	}
	return Workspace{Name: decoded.Name, Weight: orDefault(decoded.Weight, 1)}, nil
}

func parseCallerKey(body []byte) (Spec, error) {
	decoded, err := decode[callerKeyFields](body)
	if err != nil {
		return nil, err
	}
	hash, err := hex.DecodeString(decoded.Hash)
	if err != nil || len(hash) != hashBytes {
		return nil, Error.New("hash is not a SHA-256 in hexadecimal")
	}
	if decoded.Workspace == "" {
		return nil, Error.New("workspace is missing")
	}
	return CallerKey{Name: decoded.Name, Workspace: decoded.Workspace, Hash: strings.ToLower(decoded.Hash)}, nil
}

func parseRate(body []byte, v1 bool) (Spec, error) {
	var rate Rate
	if v1 {
		decoded, err := decode[rateV1](body)
		if err != nil {
			return nil, err
		}
		rate = Rate{Name: decoded.Name, Workspace: decoded.Workspace, PerSecond: decoded.PerSecond, Burst: decoded.Burst}
	} else {
		decoded, err := decode[rateV2](body)
		if err != nil {
			return nil, err
		}
		per := orDefault(time.Duration(decoded.Per), time.Second)
		rate = Rate{Name: decoded.Name, Workspace: decoded.Workspace, PerSecond: decoded.Requests / per.Seconds(), Burst: decoded.Burst}
	}
	if rate.Workspace == "" {
		return nil, Error.New("workspace is missing")
	}
	if rate.PerSecond <= 0 || rate.Burst < 1 {
		return nil, Error.New("the rate must be greater than 0 and the burst at least 1")
	}
	return rate, nil
}

func parsePolicy(body []byte, v1 bool) (Spec, error) {
	var decoded policyV2
	if v1 {
		fields, err := decode[policyV1](body)
		if err != nil {
			return nil, err
		}
		decoded.policyV1 = fields
	} else {
		fields, err := decode[policyV2](body)
		if err != nil {
			return nil, err
		}
		decoded = fields
	}
	if !validRouting(decoded.Routing) {
		return nil, Error.New("unknown routing policy %q", decoded.Routing)
	}
	if !validAdmission(decoded.Admission) {
		return nil, Error.New("unknown admission policy %q", decoded.Admission)
	}
	policy := Policy{
		Name: decoded.Name, Routing: decoded.Routing, Admission: decoded.Admission, HedgeBudget: defaultHedgeBudget,
	}
	if decoded.HedgeBudget != nil {
		policy.HedgeBudget = *decoded.HedgeBudget
	}
	if policy.HedgeBudget < 0 || policy.HedgeBudget > 1 {
		return nil, Error.New("hedgeBudget is %g, not between 0 and 1", policy.HedgeBudget)
	}
	return policy, nil
}

func parseDataCentre(body []byte, v1 bool) (Spec, error) {
	if v1 {
		decoded, err := decode[dataCentreV1](body)
		return DataCentre{Name: decoded.Name, InService: decoded.InService}, err
	}
	decoded, err := decode[dataCentreV2](body)
	return DataCentre{Name: decoded.Name, Region: decoded.Region, InService: decoded.InService}, err
}

func parseUpstream(body []byte, v1 bool) (Spec, error) {
	var decoded upstreamV2
	var err error
	if v1 {
		decoded.upstreamV1, err = decode[upstreamV1](body)
	} else {
		decoded, err = decode[upstreamV2](body)
	}
	if err != nil {
		return nil, err
	}
	if !strings.Contains(decoded.Name, "/") {
		return nil, Error.New("an upstream's name must have the form service/name")
	}
	return Upstream{Name: decoded.Name, InService: decoded.InService}, nil
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
