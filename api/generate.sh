#!/usr/bin/env bash
# Generates the Go code of every schema below api/. Needs protoc; the Go
# plugin is a tool of go.mod.
set -euo pipefail
cd "$(dirname "$0")"
plugin=$(mktemp -d)
trap 'rm -rf "$plugin"' EXIT
go build -o "$plugin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
protoc --plugin="$plugin/protoc-gen-go" --proto_path=. --go_out=.. \
  --go_opt=module=eelgrasswharf.example/eelgrasswharf ./*/*.proto
# The schemas of settings and patches with their comments, for generated
# example files and pages.
protoc --proto_path=. --include_source_info \
  --descriptor_set_out=settingspb/settings.binpb settingspb/settings.proto configpb/config.proto
