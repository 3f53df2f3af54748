// Package model holds the domain types that the other packages share: jobs,
// workers, customers, states, reasons and errors. It imports no other package
// of this project.
package model
