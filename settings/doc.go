// Package settings reads the settings of a box's processes from flags, environment
// variables and a JSON file that the three processes of a box share.
package settings
