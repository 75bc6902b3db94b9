// Package balancer selects the upstream for each request of one model or service.
package balancer
