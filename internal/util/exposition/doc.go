// Package exposition serves the metrics of a process in the Prometheus text format, with a help text and a type for each metric, on
// a separate port. Metrics are collected on each scrape, so that a process that is not scraped pays only for an idle listener.
package exposition
