// Package experiment plays days of a deployment in virtual time against the decisions of the product: packages admission,
// place, pools and dispatch. Clients, workers, hosts, their controller and the store are simulated. The same load, policy
// and seed give the same figures. The package does no input or output. See docs/experiment.md.
package experiment
