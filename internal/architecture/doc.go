// Package architecture has no code: its tests check the rules of the code's layout, which
// docs/architecture.md describes. They fail where a package imports what is above it, where a part
// points to a whole role, where a type grows over its limits, where a withdrawn word comes back, and
// where the page names something that is no longer there.
package architecture
