// Package orderwire encodes the messages of package orders for transport between instances.
//
// Tickets are sent in their binary form, and every receiver authenticates them again, so that
// a decoded message never contains a forged ticket.
package orderwire
