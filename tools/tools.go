// Package tools declares the tools that checks use; see go.mod.
package tools
