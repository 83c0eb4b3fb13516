// Package rlbcontract holds the contract tests of the interfaces to outside
// systems. They run against the stand-ins, or against a real part by address:
//
//	go test ./rlb-standin/pkg/rlbcontract -args -objects=IP:port
//
// Cases that need a fault switched run against the stand-ins only.
package rlbcontract
