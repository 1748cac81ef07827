package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/go-faster/errors"
)

// table is a table of a site file.
type table = map[string]any

// site is a decoded site file. Fields that a variant does not change are kept.
type site table

// variant is a named change of a site.
type variant struct {
	name  string
	apply func(site) error
}

var variants = []variant{
	{"mod", func(s site) error { return s.set("entry", "hash", "mod") }},
	{"zones1", func(s site) error { return s.setZones(1) }},
	{"zones2", func(s site) error { return s.setZones(2) }},
	{"zones5", func(s site) error { return s.setZones(5) }},
	{"regions2", site.twoRegions},
	{"disks-half", site.halveDisks},
	{"disks-few", site.threeDisksOfSeven},
	{"disks7", func(s site) error { return s.setDisks(7) }},
	{"seed1", site.oneSeed},
	{"targets-more", func(s site) error { return s.multiply("side", 2) }},
	{"entries-more", func(s site) error { return s.multiply("front", 2) }},
	{"beats-half", func(s site) error { return s.scale("discovery", 0.5, "beat_ms", "lag_ms") }},
	{"beats-double", func(s site) error { return s.scale("discovery", 2, "beat_ms", "lag_ms") }},
	{"bounds-half", func(s site) error { return s.scaleBounds(0.5) }},
	{"bounds-double", func(s site) error { return s.scaleBounds(2) }},
	{"slow", site.reduceCPU},
	{"services1", site.oneService},
	{"services5", func(s site) error { return s.services(5) }},
}

// list returns the list of tables with this name.
func (s site) list(name string) ([]table, error) {
	switch l := s[name].(type) {
	case []table:
		return l, nil
	case []any:
		out := make([]table, 0, len(l))
		for _, v := range l {
			t, ok := v.(table)
			if !ok {
				return nil, errors.Errorf("%s is not a list of tables", name)
			}
			out = append(out, t)
		}
		return out, nil
	}
	return nil, errors.Errorf("the site has no %s", name)
}

func (s site) table(name string) (table, error) {
	t, ok := s[name].(table)
	if !ok {
		return nil, errors.Errorf("the site has no [%s]", name)
	}
	return t, nil
}

func (s site) set(name, field string, value any) error {
	t, err := s.table(name)
	if err != nil {
		return err
	}
	t[field] = value
	return nil
}

// each calls visit for all tables of a list, in the site itself and in its days.
func (s site) each(name string, visit func(table)) error {
	days, err := s.list("day")
	if err != nil {
		return err
	}
	for _, owner := range append([]table{s}, days...) {
		l, err := site(owner).list(name)
		if err != nil {
			continue
		}
		for _, t := range l {
			visit(t)
		}
	}
	return nil
}

// setZones sets the number of zones. Excess zones are merged into the others, additional
// ones get copies of the machines and traffic of the first.
func (s site) setZones(count int) error {
	old, err := s.list("zones")
	if err != nil {
		return err
	}
	for len(old) < count {
		added := maps.Clone(old[0])
		added["name"] = fmt.Sprintf("zone-%d", len(old)+1)
		if err := s.addZoneLike(old[0]["name"], added["name"]); err != nil {
			return err
		}
		old = append(old, added)
	}
	newNames := map[any]any{}
	for i, z := range old {
		newNames[z["name"]] = old[i%count]["name"]
	}
	s["zones"] = old[:count]
	if err := s.renameZones("machines", newNames); err != nil {
		return err
	}
	if err := s.renameZones("traffic", newNames); err != nil {
		return err
	}
	for _, entries := range []string{"plan", "faults", "troubles"} {
		if err := s.renameZones(entries, newNames); err != nil {
			return err
		}
	}
	return s.each("day", func(day table) { delete(day, "floor_zones") })
}

func (s site) renameZones(name string, newNames map[any]any) error {
	return s.each(name, func(t table) {
		for _, field := range []string{"zone", "to_zone"} {
			if zone, there := newNames[t[field]]; there {
				t[field] = zone
			}
		}
	})
}

// addZoneLike copies the machines and traffic of a zone to a new zone.
func (s site) addZoneLike(old, added any) error {
	days, err := s.list("day")
	if err != nil {
		return err
	}
	for _, owner := range append([]table{s}, days...) {
		for _, name := range []string{"machines", "traffic"} {
			l, err := site(owner).list(name)
			if err != nil {
				continue
			}
			for _, t := range slices.Clone(l) {
				if t["zone"] == old {
					clone := maps.Clone(t)
					clone["zone"] = added
					l = append(l, clone)
				}
			}
			owner[name] = l
		}
	}
	return nil
}

func (s site) twoRegions() error {
	zones, err := s.list("zones")
	if err != nil {
		return err
	}
	for i, z := range zones {
		if i >= len(zones)/2 {
			z["region"] = "region-2"
		}
	}
	return nil
}

// diskMachines returns the entries of machines with a disk.
func (s site) diskMachines() ([]table, error) {
	machines, err := s.list("machines")
	if err != nil {
		return nil, err
	}
	rows := slices.DeleteFunc(slices.Clone(machines), func(m table) bool { return m["disk"] == nil })
	if len(rows) == 0 {
		return nil, errors.New("no machine has a disk")
	}
	return rows, nil
}

// halveDisks removes half of the machine entries' disks.
func (s site) halveDisks() error {
	rows, err := s.diskMachines()
	if err != nil {
		return err
	}
	removeDisks(rows[(len(rows)+1)/2:])
	return nil
}

// threeDisksOfSeven keeps disks in three of seven zones, so that all seeds may be hosts
// without a disk.
func (s site) threeDisksOfSeven() error {
	if err := s.setZones(7); err != nil {
		return err
	}
	rows, err := s.diskMachines()
	if err != nil {
		return err
	}
	removeDisks(rows[min(3, len(rows)):])
	return nil
}

func removeDisks(machines []table) {
	for _, m := range machines {
		delete(m, "disk")
		delete(m, "counted")
	}
}

// setDisks sets the number of machines with a disk.
func (s site) setDisks(count int64) error {
	rows, err := s.diskMachines()
	if err != nil {
		return err
	}
	for _, m := range rows {
		m["count"] = int64(1)
	}
	for i := range count - int64(len(rows)) {
		m := rows[i%int64(len(rows))]
		m["count"] = m["count"].(int64) + 1
	}
	return nil
}

// oneSeed keeps one zone with one machine with a disk, and sets the tolerated losses to 0.
func (s site) oneSeed() error {
	if err := s.setZones(1); err != nil {
		return err
	}
	rows, err := s.diskMachines()
	if err != nil {
		return err
	}
	for i, m := range rows {
		m["count"] = int64(1)
		if i > 0 {
			m["count"], m["spare"] = int64(0), int64(0)
		}
	}
	machines, err := s.list("machines")
	if err != nil {
		return err
	}
	s["machines"] = slices.DeleteFunc(machines, func(m table) bool { return m["count"] == int64(0) })
	return s.set("tolerate", "machines", int64(0))
}

func (s site) multiply(class string, factor int64) error {
	machines, err := s.list("machines")
	if err != nil {
		return err
	}
	for _, m := range machines {
		if m["class"] == class && m["disk"] == nil {
			m["count"] = m["count"].(int64) * factor
		}
	}
	return nil
}

// scale multiplies fields of a table.
func (s site) scale(name string, factor float64, fields ...string) error {
	t, err := s.table(name)
	if err != nil {
		return err
	}
	for _, field := range fields {
		switch v := t[field].(type) {
		case int64:
			t[field] = int64(float64(v) * factor)
		case float64:
			t[field] = v * factor
		}
	}
	return nil
}

func (s site) scaleBounds(factor float64) error {
	return s.scale("bounds", factor,
		"drain_ms", "config_ms", "touch_ms", "ack_ms", "outer_ms", "grace_s", "recover_s")
}

func (s site) reduceCPU() error {
	return s.each("machines", func(m table) { m["cpu_share"] = 0.2 })
}

// oneService assigns all targets and requests to the first service.
func (s site) oneService() error {
	services, err := s.list("services")
	if err != nil {
		return err
	}
	s["services"] = services[:1]
	first := services[0]["name"]
	if err := s.each("machines", func(m table) {
		if m["app"] != nil {
			m["app"] = first
		}
	}); err != nil {
		return err
	}
	for _, name := range []string{"classes", "plan", "faults", "troubles"} {
		if err := s.each(name, func(t table) {
			if t["service"] != nil {
				t["service"] = first
			}
			delete(t, "also")
		}); err != nil {
			return err
		}
	}
	return nil
}

// services adds copies of the last service, each with its own request class and a target
// taken from the first service.
func (s site) services(count int) error {
	services, err := s.list("services")
	if err != nil {
		return err
	}
	classes, err := s.list("classes")
	if err != nil {
		return err
	}
	machines, err := s.list("machines")
	if err != nil {
		return err
	}
	for len(services) < count {
		added := maps.Clone(services[len(services)-1])
		name := fmt.Sprintf("service-%d", len(services)+1)
		added["name"] = name
		services = append(services, added)
		i := slices.IndexFunc(machines, func(m table) bool {
			return m["app"] == services[0]["name"] && m["count"].(int64) > 1
		})
		if i < 0 {
			return errors.New("too few targets for another service")
		}
		machines[i]["count"] = machines[i]["count"].(int64) - 1
		machine := maps.Clone(machines[i])
		machine["count"], machine["app"] = int64(1), name
		machines = append(machines, machine)
		class := maps.Clone(classes[0])
		class["name"], class["service"] = "requests-"+name, name
		delete(class, "also")
		classes = append(classes, class)
		if err := s.each("traffic", func(t table) {
			mix, ok := t["mix"].(table)
			if ok {
				mix[class["name"].(string)] = 0.5
			}
		}); err != nil {
			return err
		}
	}
	s["services"], s["classes"], s["machines"] = services, classes, machines
	return nil
}
