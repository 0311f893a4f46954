//go:build !soak

package main

import "github.com/yarrowmast/yarrowmast/internal/node"

// linkOptions returns options for the connections of a router, none but in a build for the soak test.
func linkOptions() []node.Option { return nil }
