// Package architecture has no code: its tests check the layering rules that docs/architecture.md
// describes. They fail if a package imports one of a higher layer, if a component has a pointer to a
// whole role, if a type exceeds its limits of methods and fields, if a withdrawn word is used in a
// name, or if the page names code that doesn't exist.
package architecture
