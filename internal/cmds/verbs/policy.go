package verbs

import (
	"damaskcrank.example/damaskcrank/internal/oper/admin"
)

type policyCommand struct {
	Compare policyCompareCommand `cmd:"" help:"Print the measures of each policy side by side."`
}

type policyCompareCommand struct {
	Remote
	Output
}

// Run prints the results of each policy, merged over all primaries.
func (policycomparecommand *policyCompareCommand) Run(streams *Streams) error {
	var policies []admin.PolicyReply
	if err := policycomparecommand.get("/api/v1/policies", &policies); err != nil {
		return err
	}
	if policycomparecommand.json() {
		return printJSON(streams.Out, policies)
	}
	rows := newTable(streams.Out, "SERVICE", "POLICY", "ANSWERED", "REFUSED", "MEDIAN", "P99", "PRIMARIES")
	for _, policy := range policies {
		rows.row(policy.Service, policy.Policy, policy.Answered, policy.Refused, policy.Median, policy.P99, policy.Primaries)
	}
	return rows.flush()
}
