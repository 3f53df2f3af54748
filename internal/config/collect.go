package config

import (
	"cmp"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"teaselpaddle.example/teaselpaddle/internal/model"
)

// FileName is the name of a configuration file.
const FileName = "teaselpaddle.jsonc"

// Collect reads all configuration files below the given directories, checks them
// together and merges them with the services of base that have no file; base may
// be nil. The result has no version yet. The error is of type Errors and lists all
// errors of all files.
func Collect(dirs []string, fit Fit, base *model.Configuration) (*model.Configuration, error) {
	names, errs := findFiles(dirs)
	var files []*File
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			errs = append(errs, unreadableError(name, err))
			continue
		}
		f, ferrs := Parse(name, raw)
		errs = append(errs, ferrs...)
		files = append(files, f)
	}
	if len(names) == 0 && len(errs) == 0 {
		errs = append(errs, &FileError{
			Kind: KindNoFiles, File: strings.Join(dirs, ", "),
			Detail: "no file named " + FileName + " was found", Fix: "name the directories that hold the services",
		})
	}
	files = append(servicesWithoutFile(base, files), files...)
	errs = append(errs, checkAcrossFiles(files)...)
	cfg := merge(files)
	if len(errs) == 0 {
		if err := fit(cfg); err != nil {
			errs = append(errs, &FileError{
				Kind: KindDoesNotFit, File: strings.Join(dirs, ", "), Detail: err.Error(),
				Fix: "reduce the guarantees or add racks",
			})
		}
	}
	if len(errs) > 0 {
		sortErrors(errs)
		return nil, errs
	}
	return cfg, nil
}

// servicesWithoutFile returns the services of base that have no file. Collect puts them
// before the files, so that a duplicate name is reported in the file and not in base.
func servicesWithoutFile(base *model.Configuration, files []*File) []*File {
	services := servicesByName(base)
	for _, f := range files {
		delete(services, f.Service.Name)
	}
	var out []*File
	for _, name := range sortedNames(services) {
		out = append(out, &File{Name: "accepted service " + name, Service: *services[name]})
	}
	return out
}

// checkAcrossFiles runs the checks that concern several files.
func checkAcrossFiles(files []*File) Errors {
	services := make([]*model.Service, len(files))
	for i := range files {
		services[i] = &files[i].Service
	}
	var out Errors
	for _, issue := range checkAcrossServices(services) {
		f := files[issue.Service]
		detail := ""
		if issue.First != nil {
			detail = ", first at " + files[issue.First.Service].location(issue.First.Path)
		}
		before := len(f.errs)
		f.addIssue(issue, detail)
		out = append(out, f.errs[before:]...)
	}
	return out
}

// merge returns the configuration with the normalized services of all files, sorted by
// name.
func merge(files []*File) *model.Configuration {
	cfg := &model.Configuration{}
	for _, f := range files {
		s := f.Service
		Normalize(&s)
		cfg.Services = append(cfg.Services, s)
	}
	slices.SortStableFunc(cfg.Services, func(a, b model.Service) int { return strings.Compare(a.Name, b.Name) })
	return cfg
}

// findFiles returns the paths of the configuration files below dirs, each once, sorted.
// It skips hidden directories.
func findFiles(dirs []string) ([]string, Errors) {
	var names []string
	var errs Errors
	seen := map[string]bool{}
	for _, dir := range dirs {
		_ = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				errs = append(errs, unreadableError(path, err))
				return nil
			}
			if d.IsDir() && path != dir && strings.HasPrefix(d.Name(), ".") {
				return fs.SkipDir
			}
			if d.IsDir() || d.Name() != FileName {
				return nil
			}
			abs, err := filepath.Abs(path)
			if err == nil && !seen[abs] {
				seen[abs] = true
				names = append(names, path)
			}
			return nil
		})
	}
	slices.Sort(names)
	return names, errs
}

func unreadableError(name string, err error) *FileError {
	return &FileError{Kind: KindUnreadable, File: name, Detail: err.Error(), Fix: "check the path and its permissions"}
}

func sortErrors(errs Errors) {
	slices.SortStableFunc(errs, func(a, b *FileError) int {
		return cmp.Or(strings.Compare(a.File, b.File), a.Line-b.Line, a.Column-b.Column, strings.Compare(a.Path, b.Path))
	})
}
