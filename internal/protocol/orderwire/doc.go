// Package orderwire encodes the messages of the order flow into the frames that
// instances exchange.
//
// Tickets travel in their binary form and are authenticated again by every
// receiver, so that a decoded message never holds a forged ticket.
package orderwire
