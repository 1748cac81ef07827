package settingspb

import _ "embed"

// SourceDescriptor is the FileDescriptorSet of settings.proto with the
// comments of the schema, which the generated Go descriptor leaves out.
//
//go:embed settings.binpb
var SourceDescriptor []byte
