// Package rlbcontract holds the contract tests of the interfaces to outside
// systems. They run against the stand-ins, or against a real system by address:
//
//	go test ./rlb-standin/pkg/rlbcontract -args -objects=IP:port
//
// Cases that inject faults run against the stand-ins only.
package rlbcontract
