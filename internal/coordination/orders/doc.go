// Package orders makes non-idempotent orders run at most once.
package orders
