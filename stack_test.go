package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const module = "damaskcrank.example/damaskcrank/"

// areas lists the folders of internal/ from the lowest layer to the highest, and the
// platform adapter above them. An area may import only itself and areas listed
// before it.
var areas = []string{
	"base", "peer", "rates", "control", "dispatch", "entry", "oper", "fleet", "bench", "cmds", "platform",
}

// area returns the area that a folder of the module belongs to.
func area(folder string) string {
	folder = strings.TrimPrefix(filepath.ToSlash(folder), "internal/")
	name, _, _ := strings.Cut(folder, "/")
	return name
}

// TestImportsGoDown checks that no area imports an area of a higher layer, so that
// dependencies point one way.
func TestImportsGoDown(t *testing.T) {
	is := is.New(t)
	files := 0
	for _, root := range []string{"internal", "platform"} {
		is.NoErr(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			files++
			own := slices.Index(areas, area(filepath.Dir(path)))
			is.True(own >= 0) // the area is in the list
			for _, spec := range file.Imports {
				imported, err := strconv.Unquote(spec.Path.Value)
				if err != nil {
					return err
				}
				folder, ours := strings.CutPrefix(imported, module)
				if ours && slices.Index(areas, area(folder)) > own {
					t.Errorf("%s imports %s, which is in a higher layer", path, folder)
				}
			}
			return nil
		}))
	}
	is.True(files > 100) // the walk has found the module's files
}
