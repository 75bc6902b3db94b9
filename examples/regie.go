package examples

import (
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Regie returns the deployment of a chrome plating works. Floor instructions have the
// highest priority. The objective is the attainment of each class.
func Regie() *config.Deployment {
	const floor, planner, dossier = "floor-instructions", "planner-questions", "dossier-drafts"
	domains := []string{"lanester", "keroman", "hennebont", "quimperle"}
	return &config.Deployment{
		Version: config.Version, Name: "regie", Region: "bretagne-sud",
		Objective: config.Attainment, FailureDomains: domains,
		Classes: []config.Class{
			{Name: floor, Tier: 1,
				FirstTokenTarget:    config.Duration(960 * time.Millisecond),
				TokenIntervalTarget: config.Duration(53 * time.Millisecond),
				Deadline:            config.Duration(5 * time.Second)},
			{Name: planner, Tier: 2,
				FirstTokenTarget:    config.Duration(2 * time.Second),
				TokenIntervalTarget: config.Duration(80 * time.Millisecond),
				Deadline:            config.Duration(10 * time.Second)},
			{Name: dossier, Tier: 5,
				FirstTokenTarget: config.Duration(30 * time.Second),
				Deadline:         config.Duration(5 * time.Minute),
				MaxWait:          config.Duration(time.Minute),
				RetryRatio:       0.05},
		},
		Teams: []config.Team{
			team("ligne-chrome-dur", 4, floor, planner),
			team("ligne-decor", 4, floor, planner),
			team("planification", 3),
			team("ligne-nickel", 1, floor, planner),
			team("laboratoire", 1),
			team("maintenance", 1),
			team("qualite", 1),
			team("methodes", 1, planner, dossier),
			team("environnement", 1, planner, dossier),
			team("bureau-dossiers", 2, dossier),
		},
		Models: []config.Model{{Name: "atelier-llm", Class: planner,
			Upstreams: upstreams("atelier", 20, 18001, domains)}},
		Services: []config.Service{{Name: "ordres-ligne", PathPrefix: "/ordres-ligne/", Class: floor,
			NonIdempotent: []config.Operation{{Method: "POST", Path: "/ordres-ligne/runs"}},
			Upstreams:     upstreams("ordres", 4, 18101, domains)}},
		ClassRules: []config.ClassRule{
			{PathPrefix: "/ordres-ligne/", Class: floor},
			{Team: "bureau-dossiers", Class: dossier},
			{Team: "ligne-chrome-dur", Class: floor},
			{Team: "ligne-decor", Class: floor},
			{Team: "ligne-nickel", Class: floor},
		},
	}
}
