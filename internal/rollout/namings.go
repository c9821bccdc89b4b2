package rollout

// maxNamings bounds how many versions of a model are remembered with the moment
// of their naming. A runner behind all of them has the deadline of the oldest.
const maxNamings = 16

// Namings keep, for each model, when this process learned of each version.
type Namings struct {
	byModel map[string][]Naming
}

// Learn notes a version that was named at nowUs, unless it is known already or
// older than the newest one.
func (n *Namings) Learn(model string, version, namedUs int64) {
	if n.byModel == nil {
		n.byModel = map[string][]Naming{}
	}
	known := n.byModel[model]
	if len(known) > 0 && known[len(known)-1].Version >= version {
		return
	}
	known = append(known, Naming{version, namedUs})
	if len(known) > maxNamings {
		known = known[1:]
	}
	n.byModel[model] = known
}

// Models names the models of which a version is known.
func (n *Namings) Models() []string {
	var out []string
	for model := range n.byModel {
		out = append(out, model)
	}
	return out
}

// Of lists the versions of a model, oldest first.
func (n *Namings) Of(model string) []Naming { return n.byModel[model] }
